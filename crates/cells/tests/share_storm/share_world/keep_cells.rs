//! What owners do with their cells.

use rand::Rng;

use sapphirestile_cells::CellEffect;
use sapphirestile_cells::CommitOutcome;
use sapphirestile_cells::JournalEntry;
use sapphirestile_cells::ReportView;
use sapphirestile_cells::WorkerFacts;
use sapphirestile_core::CellNumber;
use sapphirestile_core::CustomerEntry;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::WorkerName;
use sapphirestile_core::ZoneName;

use crate::share_event::ShareEvent;
use crate::share_world::STEP_MS;
use crate::share_world::ShareWorld;
use crate::share_world::customer;

const COMMIT_MS: u64 = 300;
const VACANCY_MS: u64 = 4_000;
const KILLS_IN_STEPS: f64 = 0.01;
const BEATEN_IN_ENTRIES: f64 = 0.05;
const ROOM: ResourceSize = ResourceSize {
    cpu_milli: 64_000,
    memory_mb: 250_000,
    accelerators: 64,
};

impl ShareWorld {
    pub(super) fn step(&mut self, cell: CellNumber) {
        self.push_within(STEP_MS, ShareEvent::Step(cell));
        let dies = self.faulty && self.rng.random_bool(KILLS_IN_STEPS);
        if dies && self.seat(cell).owner.is_some() {
            self.kills += 1;
            let lands = self.rng.random_bool(0.5);
            self.seat(cell).kill(lands);
            self.push_within(VACANCY_MS, ShareEvent::Claim(cell));
        }
        self.renew(cell);
        self.send_reports(cell);
        self.commit(cell);
    }

    fn renew(&mut self, cell: CellNumber) {
        let (time, clock) = (self.now, MonoTime::from_millis(self.now));
        let (map, quota) = (self.map, self.quota);
        let seat = self.seat(cell);
        let Some(owner) = &mut seat.owner else { return };
        let entry = CustomerEntry {
            quota,
            priority: 100,
        };
        owner.set_cells(map);
        owner.set_customers(&[(customer(), entry)].into_iter().collect());
        owner.set_workers(&[facts_of(cell)], clock);
        for order in owner.due_sessions(clock) {
            let tasks = seat.worker.renew(&order, time);
            owner.observe_report(&ReportView {
                worker: order.worker.as_str(),
                ordinal: order.ordinal,
                asked: clock,
                permit: seat.worker.permit,
                tasks: &tasks,
            });
        }
    }

    fn commit(&mut self, cell: CellNumber) {
        let (now, nonce) = (MonoTime::from_millis(self.now), self.now);
        let seat = self.seat(cell);
        let life = seat.life;
        let Some(owner) = &mut seat.owner else { return };
        if owner.has_flight() {
            return;
        }
        owner.plan_starts(now, 100);
        let Some(entry) = owner.take_batch(nonce).cloned() else {
            return;
        };
        seat.flight = Some(entry.clone());
        self.push_within(COMMIT_MS, ShareEvent::Land(cell, life, entry));
    }

    pub(super) fn land(&mut self, cell: CellNumber, life: u64, entry: &JournalEntry) {
        let beaten = self.faulty && self.rng.random_bool(BEATEN_IN_ENTRIES);
        let now = self.now;
        let seat = self.seat(cell);
        let owner = seat.owner.as_mut().filter(|_| seat.life == life);
        let Some(owner) = owner else { return };
        seat.flight = None;
        if beaten {
            owner.settle_batch(CommitOutcome::ConfigMoved);
            return;
        }
        seat.journal.fold(entry);
        seat.entries += 1;
        for effect in owner.settle_batch(CommitOutcome::Done) {
            if let CellEffect::Start(order) = effect {
                seat.worker.start(&order, now);
                owner.start_answered(order.worker.as_str());
            }
        }
        self.give_answers(cell);
    }
}

fn facts_of(cell: CellNumber) -> WorkerFacts {
    WorkerFacts {
        worker: WorkerName::try_from(format!("w{cell}").as_str()).unwrap(),
        zone: ZoneName::try_from("hki").unwrap(),
        rack: None,
        size: ROOM,
        takes_work: true,
    }
}
