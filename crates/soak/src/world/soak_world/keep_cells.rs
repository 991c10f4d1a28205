//! What daemons do with their cells.

use rand::Rng;

use crate::CellSeat;
use crate::CommitTry;
use crate::FaultKind;
use crate::OpenSeat;
use crate::ProcessMark;
use crate::SeatPhase;
use crate::SoakEvent;
use crate::SoakWorker;
use crate::SoakWorld;
use sapphirestile_cells::CellEffect;
use sapphirestile_cells::CellOwner;
use sapphirestile_cells::CellTransition;
use sapphirestile_cells::EntryBody;
use sapphirestile_cells::JournalEntry;
use sapphirestile_cells::WorkerFacts;
use sapphirestile_core::CellNumber;
use sapphirestile_core::CustomerEntry;
use sapphirestile_core::CustomerName;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::SortedTable;

const COMMIT_INTERVAL_MS: u64 = 250;
const SNAPSHOT_ENTRIES: u64 = 8;
const STARTS_MAX: usize = 50;
const LIST_INTERVAL_MS: u64 = 1_000;
const LIST_AGE_MAX_MS: u64 = 25_000;
const MILLIS_PER_SECOND: u64 = 1_000;
const UNIX_BASE_S: u64 = 1_000_000;
/// The customers of a run.
pub(super) const CUSTOMERS: [&str; 2] = ["tailors", "weavers"];

impl SoakWorld {
    pub(super) fn step(&mut self, mark: ProcessMark) {
        self.refresh(mark);
        for cell in 0..super::CELLS {
            let cell = CellNumber::new(cell);
            if self.daemons[mark.place].seats.contains(&cell) {
                self.step_seat(mark, cell);
            } else {
                self.consider_claim(mark, cell);
            }
        }
        let next = self.now + self.rng.random_range(80..150);
        self.queue.push(next, SoakEvent::Step(mark));
    }

    /// Reads the document and the list of VMs, each late.
    fn refresh(&mut self, mark: ProcessMark) {
        let reads_document = self.store.answers(self.now) && self.rng.random_bool(0.3);
        let age = self.rng.random_range(0..LIST_AGE_MAX_MS);
        let daemon = &mut self.daemons[mark.place];
        if reads_document {
            daemon.document = self.store.document;
            daemon.zones_out = self.store.zones_out.keys().cloned().collect();
        }
        let due = |(read, _): (u64, u64)| self.now - read >= LIST_INTERVAL_MS;
        if daemon.list.is_none_or(due) {
            daemon.list = Some((self.now, self.now.saturating_sub(age)));
        }
    }

    fn consider_claim(&mut self, mark: ProcessMark, cell: CellNumber) {
        if !self.store.answers(self.now) {
            return;
        }
        let owner = self.store.rows(cell).truth.owner();
        let held = self.daemons.iter().any(|daemon| {
            let runs = daemon.alive && daemon.frozen_until <= self.now;
            runs && owner == Some(&daemon.identity()) && daemon.seats.contains(&cell)
        });
        let claims = if held {
            self.draws(FaultKind::CellSeized, 0.002)
        } else {
            self.rng.random_bool(0.05)
        };
        if claims {
            self.claim(mark, cell);
        }
    }

    fn claim(&mut self, mark: ProcessMark, cell: CellNumber) {
        let rows = self.store.rows(cell);
        let (state, head) = (rows.load(), rows.head);
        let nonce = self.rng.random();
        let daemon = &mut self.daemons[mark.place];
        let owner = CellOwner::claim(cell, daemon.identity(), state, nonce);
        let commit = CommitTry {
            cell,
            head,
            document: None,
            entry: owner.entry().clone(),
            snapshot: None,
            expected: None,
        };
        let seat = CellSeat {
            head,
            flight: Some(commit),
            phase: SeatPhase::Claiming(Box::new(owner)),
        };
        daemon.seats.insert(cell, seat);
        self.send_commit(mark, cell, nonce);
    }

    fn step_seat(&mut self, mark: ProcessMark, cell: CellNumber) {
        let newest = self.store.rows(cell).truth.epoch();
        let hears = self.rng.random_bool(0.02);
        let gives_up = self.draws(FaultKind::CellReleased, 0.001);
        let Some(seat) = self.open_seat(mark, cell) else {
            return;
        };
        if seat.owner.epoch() < newest && hears {
            self.depose(mark, cell);
            return;
        }
        seat.stopping |= gives_up;
        self.list_workers(mark, cell);
        self.press(mark, cell);
        self.call_due(mark, cell);
        self.commit_due(mark, cell);
    }

    fn list_workers(&mut self, mark: ProcessMark, cell: CellNumber) {
        let daemon = &self.daemons[mark.place];
        let Some((read, as_of)) = daemon.list else {
            return;
        };
        let takes_work = |worker: &SoakWorker| !daemon.zones_out.contains(&worker.zone);
        let facts: Vec<WorkerFacts> = self
            .workers
            .values()
            .filter(|worker| worker.cell == cell && worker.lives(as_of))
            .map(|worker| worker.facts(takes_work(worker)))
            .collect();
        let (read, revision) = (daemon.clock(read), daemon.document);
        if let Some(seat) = self.open_seat(mark, cell) {
            seat.owner.set_workers(&facts, read);
            seat.owner.set_customers(&customers());
            seat.revision = revision;
        }
    }

    fn call_due(&mut self, mark: ProcessMark, cell: CellNumber) {
        let clock = self.daemons[mark.place].clock(self.now);
        let Some(seat) = self.open_seat(mark, cell) else {
            return;
        };
        let mut effects = Vec::new();
        if !seat.stopping {
            let sessions = seat.owner.due_sessions(clock);
            effects.extend(sessions.into_iter().map(CellEffect::Session));
        }
        effects.extend(seat.owner.due_stops().into_iter().map(CellEffect::Stop));
        let throttles = seat.owner.due_throttles().into_iter();
        effects.extend(throttles.map(CellEffect::Throttle));
        for effect in effects {
            self.decide_call(mark, cell, effect);
        }
    }

    pub(super) fn open_seat(
        &mut self,
        mark: ProcessMark,
        cell: CellNumber,
    ) -> Option<&mut OpenSeat> {
        self.daemons[mark.place].seats.get_mut(&cell)?.open()
    }

    fn commit_due(&mut self, mark: ProcessMark, cell: CellNumber) {
        let nonce = self.rng.random();
        let unix_s = UNIX_BASE_S + self.now / MILLIS_PER_SECOND;
        let daemon = &mut self.daemons[mark.place];
        let clock = daemon.clock(self.now);
        let Some(row) = daemon.seats.get_mut(&cell) else {
            return;
        };
        let head = row.head;
        let Some(seat) = row.open() else { return };
        let rested = clock.millis_since(seat.committed) >= COMMIT_INTERVAL_MS;
        if !rested || seat.owner.has_entry_in_flight() {
            return;
        }
        if !seat.stopping && seat.beaten != Some(seat.revision) {
            seat.owner.plan_starts(clock, STARTS_MAX);
        }
        seat.owner.forget_old(clock, unix_s);
        let snapshot_due = seat.owner.snapshot_due(SNAPSHOT_ENTRIES);
        if let Some(entry) = seat.owner.take_batch(nonce).cloned() {
            let expected = seat.owner.snapshot_in_flight();
            row.flight = Some(CommitTry {
                cell,
                head,
                document: starts_tasks(&entry).then_some(seat.revision),
                entry,
                snapshot: snapshot_due.then(|| expected.clone()),
                expected: Some(expected),
            });
            self.send_commit(mark, cell, nonce);
        } else if seat.stopping && seat.owner.is_idle() {
            self.release(mark, cell, nonce);
        }
    }

    fn release(&mut self, mark: ProcessMark, cell: CellNumber, nonce: u64) {
        let seats = &mut self.daemons[mark.place].seats;
        let Some(row) = seats.get_mut(&cell) else {
            return;
        };
        let phase = std::mem::replace(&mut row.phase, SeatPhase::Releasing);
        let SeatPhase::Open(seat) = phase else { return };
        let OpenSeat { owner, replies, .. } = *seat;
        assert!(replies.is_empty(), "a quiet owner owes an answer");
        row.flight = Some(CommitTry {
            cell,
            head: row.head,
            document: None,
            entry: owner.release(nonce),
            snapshot: None,
            expected: None,
        });
        self.send_commit(mark, cell, nonce);
    }
}

fn customers() -> SortedTable<CustomerName, CustomerEntry> {
    let entry = CustomerEntry {
        quota: ResourceSize {
            cpu_milli: 1_000_000,
            memory_mb: 1_000_000,
            accelerators: 0,
        },
        priority: 100,
    };
    let named = |name| CustomerName::try_from(name).expect("the name is well formed");
    CUSTOMERS.iter().map(|name| (named(*name), entry)).collect()
}

fn starts_tasks(entry: &JournalEntry) -> bool {
    let EntryBody::Batch(transitions) = &entry.body else {
        return false;
    };
    transitions
        .iter()
        .any(|change| matches!(change, CellTransition::TaskAssigned { .. }))
}
