//! Commits on their way to the store and back.

use rand::Rng;

use crate::CellSeat;
use crate::CommitTry;
use crate::FaultKind;
use crate::OpenSeat;
use crate::ProcessMark;
use crate::SeatPhase;
use crate::SoakEvent;
use crate::SoakWorld;
use crate::StoreAnswer;
use crate::SubmitReply;
use crate::TryFate;
use sapphirestile_cells::CommitOutcome;
use sapphirestile_core::CellNumber;

const COMMIT_TIMEOUT_MS: u64 = 1_500;

impl SoakWorld {
    pub(super) fn send_commit(&mut self, from: ProcessMark, cell: CellNumber, nonce: u64) {
        let Some(commit) = self.flight(from, cell, nonce).cloned() else {
            return;
        };
        let late = self.draws(FaultKind::CommitLate, 0.1);
        let lost = !late && self.draws(FaultKind::CommitAnswerLost, 0.15);
        let lands = if late {
            self.now + self.rng.random_range(1_000..30_000)
        } else {
            self.now + self.rng.random_range(2..120)
        };
        let answered = !late && !lost && self.store.answers(lands);
        if self.store.answers(self.now) {
            let commit = Box::new(commit);
            self.queue.push(
                lands,
                SoakEvent::CommitLands {
                    from,
                    commit,
                    answered,
                },
            );
        }
        if !answered || !self.store.answers(self.now) {
            let event = SoakEvent::CommitAnswered {
                to: from,
                cell,
                nonce,
                answer: None,
            };
            self.queue.push(self.now + COMMIT_TIMEOUT_MS, event);
        }
    }

    pub(super) fn land_commit(&mut self, from: ProcessMark, commit: &CommitTry, answered: bool) {
        let (cell, nonce) = (commit.cell, commit.entry.nonce);
        let mut answer = None;
        if self.store.answers(self.now) {
            let taken = self.store.commit(commit);
            if matches!(taken, StoreAnswer::Done(_)) {
                self.check_entry(commit);
            }
            answer = Some(taken);
        }
        if answered {
            let delay = if answer.is_some() {
                self.rng.random_range(2..60)
            } else {
                COMMIT_TIMEOUT_MS
            };
            let event = SoakEvent::CommitAnswered {
                to: from,
                cell,
                nonce,
                answer,
            };
            self.queue.push(self.now + delay, event);
        }
    }

    pub(super) fn take_answer(
        &mut self,
        to: ProcessMark,
        cell: CellNumber,
        nonce: u64,
        answer: Option<StoreAnswer>,
    ) {
        let Some(commit) = self.flight(to, cell, nonce).cloned() else {
            return;
        };
        let rows = self.store.rows(cell);
        let known = self.daemons[to.place].seats.get(&cell);
        let head = known.map_or(0, |seat| seat.head);
        match answer {
            Some(StoreAnswer::Done(revision)) => self.settle_done(to, cell, revision),
            Some(StoreAnswer::Beaten) if self.store.answers(self.now) => {
                let own = rows.latest.as_ref();
                if rows.head == head {
                    self.settle_moved(to, cell, commit.document);
                } else if own.is_some_and(|latest| latest.same_write(&commit.entry)) {
                    self.settle_done(to, cell, rows.head);
                } else {
                    self.depose(to, cell);
                }
            }
            _ => {
                let claiming =
                    known.is_some_and(|seat| matches!(seat.phase, SeatPhase::Claiming(_)));
                if claiming && self.rng.random_bool(0.3) {
                    self.daemons[to.place].seats.remove(&cell);
                    return;
                }
                let pause = self.rng.random_range(50..2_000);
                let from = to;
                let event = SoakEvent::CommitLeaves { from, cell, nonce };
                self.queue.push(self.now + pause, event);
            }
        }
    }

    /// Drops a cell that another daemon has claimed. Of the entry in flight it
    /// is unknown whether it came first.
    pub(super) fn depose(&mut self, mark: ProcessMark, cell: CellNumber) {
        let Some(seat) = self.daemons[mark.place].seats.remove(&cell) else {
            return;
        };
        let SeatPhase::Open(seat) = seat.phase else {
            return;
        };
        let mut unknown = seat.owner.sequence();
        if seat.owner.has_entry_in_flight() {
            unknown = unknown.next();
        }
        for reply in &seat.replies {
            if let SubmitReply::Job { job, place, .. } = reply
                && reply.sequence() > unknown
                && let Some(tries) = self.ledger.jobs.get_mut(job)
            {
                tries.fates[*place] = TryFate::NotRun;
            }
        }
    }

    fn flight(&self, mark: ProcessMark, cell: CellNumber, nonce: u64) -> Option<&CommitTry> {
        let seat = self.daemons[mark.place].seats.get(&cell)?;
        seat.flight
            .as_ref()
            .filter(|commit| commit.entry.nonce == nonce)
    }

    fn settle_done(&mut self, mark: ProcessMark, cell: CellNumber, revision: u64) {
        let daemon = &mut self.daemons[mark.place];
        let clock = daemon.clock(self.now);
        let Some(row) = daemon.seats.remove(&cell) else {
            return;
        };
        match row.phase {
            SeatPhase::Claiming(owner) => {
                let seat = OpenSeat {
                    owner: (*owner).claimed(),
                    replies: Vec::new(),
                    committed: clock,
                    revision: 0,
                    beaten: None,
                    stopping: false,
                };
                let phase = SeatPhase::Open(Box::new(seat));
                let row = CellSeat {
                    head: revision,
                    flight: None,
                    phase,
                };
                daemon.seats.insert(cell, row);
            }
            SeatPhase::Open(mut seat) => {
                let effects = seat.owner.settle_batch(CommitOutcome::Done);
                seat.committed = clock;
                let phase = SeatPhase::Open(seat);
                let row = CellSeat {
                    head: revision,
                    flight: None,
                    phase,
                };
                daemon.seats.insert(cell, row);
                for effect in effects {
                    self.decide_call(mark, cell, effect);
                }
                self.give_replies(mark, cell);
            }
            SeatPhase::Releasing => {}
        }
    }

    fn settle_moved(&mut self, mark: ProcessMark, cell: CellNumber, document: Option<u64>) {
        let daemon = &mut self.daemons[mark.place];
        let clock = daemon.clock(self.now);
        let Some(row) = daemon.seats.get_mut(&cell) else {
            return;
        };
        row.flight = None;
        if let Some(seat) = row.open() {
            seat.beaten = document;
            seat.committed = clock;
            let effects = seat.owner.settle_batch(CommitOutcome::ConfigMoved);
            assert!(effects.is_empty(), "a beaten batch has effects");
            let last = seat.owner.last_proposed();
            for reply in &mut seat.replies {
                reply.wait_at_most(last);
            }
            self.give_replies(mark, cell);
        }
    }
}
