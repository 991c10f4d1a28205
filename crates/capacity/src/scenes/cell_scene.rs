//! An owned cell in any size.

use sapphirestile_cells::AttemptReport;
use sapphirestile_cells::CellEffect;
use sapphirestile_cells::CellOwner;
use sapphirestile_cells::CellState;
use sapphirestile_cells::CommitOutcome;
use sapphirestile_cells::OwningPhase;
use sapphirestile_cells::ReportedPhase;
use sapphirestile_cells::TaskEntry;
use sapphirestile_cells::WorkerFacts;
use sapphirestile_core::CellNumber;
use sapphirestile_core::CustomerEntry;
use sapphirestile_core::CustomerName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::RackName;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::SortedTable;
use sapphirestile_core::WorkerName;
use sapphirestile_core::ZoneName;

use crate::scenes::CellSize;
use crate::scenes::DueReport;
use crate::scenes::identity;
use crate::scenes::job_order;
use crate::scenes::worker_name;

const TASKS_PER_JOB: u32 = 20;
const WORKERS_PER_RACK: usize = 20;
const STARTS_MAX: usize = 200;
const SECOND_MS: u64 = 1_000;
const ENDED_JOBS_FROM: usize = 500_000;
const WAITING_JOBS_FROM: usize = 600_000;
const WORKER_SIZE: ResourceSize = ResourceSize {
    cpu_milli: 64_000,
    memory_mb: 250_000,
    accelerators: 1,
};
const QUOTA: ResourceSize = ResourceSize {
    cpu_milli: 10_000_000_000,
    memory_mb: 100_000_000_000,
    accelerators: 1_000_000,
};

/// An owned cell in any size.
pub struct CellScene {
    pub owner: CellOwner<OwningPhase>,
    pub now: MonoTime,
    pub facts: Vec<WorkerFacts>,
    nonce: u64,
}

impl CellScene {
    /// A cell whose tasks have all been started, ended or left waiting.
    pub fn build(size: CellSize) -> Self {
        let claiming = CellOwner::claim(CellNumber::new(0), identity(0), CellState::default(), 1);
        let mut scene = Self {
            owner: claiming.claimed(),
            now: MonoTime::from_millis(SECOND_MS),
            facts: (0..size.workers).map(worker_facts).collect(),
            nonce: 1,
        };
        scene.owner.set_customers(&customers());
        scene.owner.set_workers(&scene.facts, scene.now);
        scene.end_tasks(size.ended);
        scene.submit(0, size.running);
        scene.commit();
        scene.report_all();
        scene.start_all();
        scene.submit(WAITING_JOBS_FROM, size.waiting);
        scene.commit();
        scene
    }

    /// Submits `tasks` in jobs of twenty.
    pub fn submit(&mut self, first: usize, tasks: u32) {
        let mut left = tasks;
        let mut place = first;
        while left > 0 {
            let part = left.min(TASKS_PER_JOB);
            let submitted = self.owner.submit_job(&job_order(place, part));
            submitted.expect("the job is new");
            left -= part;
            place += 1;
        }
    }

    /// Commits what was proposed and answers the starts; how many they were.
    pub fn commit(&mut self) -> usize {
        self.nonce += 1;
        if self.owner.take_batch(self.nonce).is_none() {
            return 0;
        }
        self.settle()
    }

    /// Settles the batch in flight and answers the starts; how many they were.
    pub fn settle(&mut self) -> usize {
        let effects = self.owner.settle_batch(CommitOutcome::Done);
        for effect in &effects {
            if let CellEffect::Start(order) = effect {
                self.owner.start_answered(order.worker.as_str());
            }
        }
        effects.len()
    }

    /// One second later every worker is asked and reports what runs on it.
    pub fn report_all(&mut self) -> usize {
        let reports = self.due_reports();
        for report in &reports {
            self.owner.observe_report(&report.view());
        }
        reports.len()
    }

    /// The reports of one second, by worker.
    pub fn due_reports(&mut self) -> Vec<DueReport> {
        self.now = self.now.plus_millis(SECOND_MS);
        let running = self.sightings();
        let asked = self.now;
        let orders = self.owner.due_sessions(asked).into_iter();
        let reports = orders.map(|order| DueReport {
            tasks: running.get(&order.worker).cloned().unwrap_or_default(),
            worker: order.worker,
            ordinal: order.ordinal,
            asked,
        });
        reports.collect()
    }

    fn sightings(&self) -> SortedTable<WorkerName, Vec<AttemptReport>> {
        let mut table = SortedTable::new();
        for (task, entry) in self.owner.state().tasks().iter() {
            let TaskEntry::Assigned(cycle) = entry else {
                continue;
            };
            let phase = cycle.phase();
            let sighting = AttemptReport {
                task: task.clone(),
                attempt: phase.attempt,
                phase: ReportedPhase::Running,
                checkpoint_ms: 0,
                usage: phase.size,
                throttle_cpu_milli: None,
            };
            let sightings = table.get_or_insert_with(phase.worker.clone(), Vec::new);
            sightings.push(sighting);
        }
        table
    }

    fn start_all(&mut self) {
        loop {
            self.owner.plan_starts(self.now, STARTS_MAX);
            if self.commit() == 0 {
                return;
            }
        }
    }

    /// Ends tasks a few at a time, since only so many may wait.
    fn end_tasks(&mut self, tasks: u32) {
        let mut left = tasks;
        let mut place = ENDED_JOBS_FROM;
        while left > 0 {
            let part = left.min(TASKS_PER_JOB);
            self.submit(place, part);
            let cancelled = self.owner.cancel_job(&job_order(place, 1).job);
            cancelled.expect("the job was not cancelled before");
            left -= part;
            place += 1;
        }
        self.commit();
    }
}

fn worker_facts(place: usize) -> WorkerFacts {
    let rack = format!("rack-{}", place / WORKERS_PER_RACK);
    WorkerFacts {
        worker: worker_name(place),
        zone: ZoneName::try_from("near-a").expect("a valid name"),
        rack: RackName::try_from(rack).ok(),
        size: WORKER_SIZE,
        takes_work: true,
    }
}

fn customers() -> SortedTable<CustomerName, CustomerEntry> {
    let entry = CustomerEntry {
        quota: QUOTA,
        priority: 100,
    };
    let name = CustomerName::try_from("kennels").expect("a valid name");
    std::iter::once((name, entry)).collect()
}
