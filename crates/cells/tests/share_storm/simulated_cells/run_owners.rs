//! Periodic steps of the owners.

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
use crate::simulated_cells::STEP_MS;
use crate::simulated_cells::SimulatedCells;
use crate::simulated_cells::customer;

const COMMIT_DELAY_MAX_MS: u64 = 300;
const VACANCY_MAX_MS: u64 = 4_000;
const KILLS_PER_STEP: f64 = 0.01;
const REJECTED_FRACTION: f64 = 0.05;
const WORKER_SIZE: ResourceSize = ResourceSize {
    cpu_milli: 64_000,
    memory_mb: 250_000,
    accelerators: 64,
};

impl SimulatedCells {
    pub(super) fn step(&mut self, cell: CellNumber) {
        self.push_within(STEP_MS, ShareEvent::Step(cell));
        let is_killed = self.injects_faults && self.rng.random_bool(KILLS_PER_STEP);
        if is_killed && self.cell_mut(cell).owner.is_some() {
            self.kills += 1;
            let is_committed = self.rng.random_bool(0.5);
            self.cell_mut(cell).kill(is_committed);
            self.push_within(VACANCY_MAX_MS, ShareEvent::Claim(cell));
        }
        self.renew(cell);
        self.send_reports(cell);
        self.commit(cell);
    }

    fn renew(&mut self, cell: CellNumber) {
        let (time, clock) = (self.now, MonoTime::from_millis(self.now));
        let (map, quota) = (self.map, self.quota);
        let simulated = self.cell_mut(cell);
        let Some(owner) = &mut simulated.owner else {
            return;
        };
        let entry = CustomerEntry {
            quota,
            priority: 100,
        };
        owner.set_cells(map);
        owner.set_customers(&[(customer(), entry)].into_iter().collect());
        owner.set_workers(&[facts_of(cell)], clock);
        for request in owner.due_sessions(clock) {
            let tasks = simulated.worker.renew(&request, time);
            owner.observe_report(&ReportView {
                worker: request.worker.as_str(),
                ordinal: request.ordinal,
                asked: clock,
                permit: simulated.worker.permit,
                tasks: &tasks,
            });
        }
    }

    fn commit(&mut self, cell: CellNumber) {
        let (now, nonce) = (MonoTime::from_millis(self.now), self.now);
        let simulated = self.cell_mut(cell);
        let incarnation = simulated.incarnation;
        let Some(owner) = &mut simulated.owner else {
            return;
        };
        if owner.has_entry_in_flight() {
            return;
        }
        owner.plan_starts(now, 100);
        let Some(entry) = owner.take_batch(nonce).cloned() else {
            return;
        };
        simulated.in_flight = Some(entry.clone());
        self.push_within(
            COMMIT_DELAY_MAX_MS,
            ShareEvent::Committed(cell, incarnation, entry),
        );
    }

    pub(super) fn settle_commit(
        &mut self,
        cell: CellNumber,
        incarnation: u64,
        entry: &JournalEntry,
    ) {
        let is_rejected = self.injects_faults && self.rng.random_bool(REJECTED_FRACTION);
        let now = self.now;
        let simulated = self.cell_mut(cell);
        let owner = simulated
            .owner
            .as_mut()
            .filter(|_| simulated.incarnation == incarnation);
        let Some(owner) = owner else { return };
        simulated.in_flight = None;
        if is_rejected {
            owner.settle_batch(CommitOutcome::ConfigMoved);
            return;
        }
        simulated.journal.fold(entry);
        simulated.entries += 1;
        for effect in owner.settle_batch(CommitOutcome::Done) {
            if let CellEffect::Start(request) = effect {
                simulated.worker.start(&request, now);
                owner.start_answered(request.worker.as_str());
            }
        }
        self.send_answers(cell);
    }
}

fn facts_of(cell: CellNumber) -> WorkerFacts {
    WorkerFacts {
        worker: WorkerName::try_from(format!("w{cell}").as_str()).unwrap(),
        zone: ZoneName::try_from("hki").unwrap(),
        rack: None,
        size: WORKER_SIZE,
        takes_work: true,
    }
}
