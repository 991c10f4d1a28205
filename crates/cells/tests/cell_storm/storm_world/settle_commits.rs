//! What becomes of commits, by the rules of the daemon's journal writer.

use crate::daemon_role::DaemonRole;
use crate::flight_try::FlightTry;
use crate::owned_cell::OwnedCell;
use crate::owner_term::OwnerTerm;
use crate::store_answer::StoreAnswer;
use crate::storm_world::StormWorld;
use sapphirestile_cells::CommitOutcome;

const CLAIM_TRIES_MAX: u32 = 3;

impl StormWorld {
    pub(super) fn term_of(&self, daemon: usize) -> OwnerTerm {
        OwnerTerm {
            daemon,
            term: self.daemons[daemon].term,
        }
    }

    pub(super) fn take_answer(&mut self, daemon: usize, nonce: u64, answer: StoreAnswer) {
        let Some(flight) = self
            .flight_of(daemon)
            .filter(|flight| flight.commit.entry.nonce == nonce)
        else {
            return;
        };
        let (known, entry) = (flight.commit.head, flight.commit.entry.clone());
        match answer {
            StoreAnswer::Done(head) => self.settle(daemon, CommitOutcome::Done, head),
            // The reason is read from the store; while it is down, a later try asks again.
            StoreAnswer::Beaten if self.store.down => {}
            StoreAnswer::Beaten => {
                let (head, latest) = self.store.head();
                if head == known {
                    self.settle(daemon, CommitOutcome::ConfigMoved, head);
                } else if latest.is_some_and(|latest| latest.same_write(&entry)) {
                    self.settle(daemon, CommitOutcome::Done, head);
                } else {
                    self.daemons[daemon].take_role(DaemonRole::Idle);
                }
            }
        }
    }

    pub(super) fn try_again(&mut self, daemon: usize, nonce: u64, tries: u32) {
        let term = self.term_of(daemon);
        let mut role = std::mem::replace(&mut self.daemons[daemon].role, DaemonRole::Idle);
        let claiming = matches!(role, DaemonRole::Claiming(_));
        let flight = match &mut role {
            DaemonRole::Idle => None,
            DaemonRole::Claiming(claim) => Some(&mut claim.flight),
            DaemonRole::Owning(cell) => cell.flight.as_mut(),
        };
        let mut given_up = false;
        let waits =
            |flight: &&mut FlightTry| flight.commit.entry.nonce == nonce && flight.tries == tries;
        if let Some(flight) = flight.filter(waits) {
            given_up = claiming && flight.tries >= CLAIM_TRIES_MAX;
            if !given_up {
                flight.tries += 1;
                self.send_commit(term, flight);
            }
        }
        if given_up {
            self.daemons[daemon].take_role(DaemonRole::Idle);
        } else {
            self.daemons[daemon].role = role;
        }
    }

    fn flight_of(&self, daemon: usize) -> Option<&FlightTry> {
        match &self.daemons[daemon].role {
            DaemonRole::Idle => None,
            DaemonRole::Claiming(claim) => Some(&claim.flight),
            DaemonRole::Owning(cell) => cell.flight.as_ref(),
        }
    }

    fn settle(&mut self, daemon: usize, outcome: CommitOutcome, head: u64) {
        let role = std::mem::replace(&mut self.daemons[daemon].role, DaemonRole::Idle);
        match role {
            DaemonRole::Idle => {}
            DaemonRole::Claiming(claim) => {
                self.counts.claims += 1;
                let cell = OwnedCell {
                    owner: claim.owner.claimed(),
                    head,
                    flight: None,
                    jobs: Vec::new(),
                    keys: Vec::new(),
                    committed: self.now,
                    config: 0,
                    beaten: None,
                };
                self.daemons[daemon].take_role(DaemonRole::Owning(Box::new(cell)));
            }
            DaemonRole::Owning(mut cell) => {
                self.settle_batch(daemon, &mut cell, outcome, head);
                self.daemons[daemon].role = DaemonRole::Owning(cell);
            }
        }
    }

    fn settle_batch(
        &mut self,
        daemon: usize,
        cell: &mut OwnedCell,
        outcome: CommitOutcome,
        head: u64,
    ) {
        let flight = cell.flight.take();
        cell.head = head;
        cell.committed = self.now;
        if outcome == CommitOutcome::ConfigMoved {
            cell.beaten = flight.and_then(|flight| flight.commit.config);
        }
        let effects = cell.owner.settle_batch(outcome);
        let term = self.term_of(daemon);
        for effect in effects {
            self.call_worker(term, effect);
        }
        self.give_replies(cell);
    }

    /// Tells submitters whose jobs are in the journal, and sends the requests
    /// whose records are.
    fn give_replies(&mut self, cell: &mut OwnedCell) {
        let reached = cell.owner.sequence();
        for (_, job) in cell
            .jobs
            .extract_if(.., |(sequence, _)| *sequence <= reached)
        {
            self.open_jobs.retain(|order| order.job != job);
            self.ledger.note_accepted(job);
        }
        for (_, key) in cell
            .keys
            .extract_if(.., |(sequence, _)| *sequence <= reached)
        {
            self.ledger.note_sent(&key);
        }
    }
}
