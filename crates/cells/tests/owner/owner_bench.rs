//! An owner with short ways to drive it, and the journal that it wrote.

use sapphirestile_cells::CellEffect;
use sapphirestile_cells::CellOwner;
use sapphirestile_cells::CellState;
use sapphirestile_cells::CellTransition;
use sapphirestile_cells::CommitOutcome;
use sapphirestile_cells::EntryBody;
use sapphirestile_cells::JobOrder;
use sapphirestile_cells::JournalEntry;
use sapphirestile_cells::OpenPhase;
use sapphirestile_cells::ReportView;
use sapphirestile_cells::SessionOrder;
use sapphirestile_cells::SightedPhase;
use sapphirestile_cells::StartOrder;
use sapphirestile_cells::StopOrder;
use sapphirestile_cells::TaskSighting;
use sapphirestile_cells::WorkerFacts;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;
use sapphirestile_core::CustomerEntry;
use sapphirestile_core::CustomerName;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::DaemonName;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::TaskIndex;
use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;
use sapphirestile_core::ZoneName;

pub const WORKER: ResourceSize = ResourceSize {
    cpu_milli: 8_000,
    memory_mb: 16_000,
    accelerators: 0,
};

/// An owner, its clock, and the fold of what it committed.
pub struct OwnerBench {
    pub owner: CellOwner<OpenPhase>,
    pub now: MonoTime,
    pub journal: CellState,
    nonce: u64,
    permit: u64,
}

impl OwnerBench {
    /// An owner with the workers w1 and w2, both in zone hki.
    pub fn new() -> Self {
        Self::adopt(CellState::default(), 1)
    }

    /// The next owner of a cell, as the given life of the daemon.
    pub fn adopt(mut journal: CellState, incarnation: u64) -> Self {
        let identity = DaemonIdentity {
            daemon: DaemonName::try_from("entry-1").unwrap(),
            incarnation: IncarnationNumber::new(incarnation),
        };
        let claiming = CellOwner::claim(CellNumber::new(0), identity, journal.clone(), 1);
        journal.fold(claiming.entry());
        let mut bench = Self {
            owner: claiming.claimed(),
            now: MonoTime::from_millis(10_000),
            journal,
            nonce: 1,
            permit: 100,
        };
        bench.list(&["w1", "w2"], true);
        let quota = ResourceSize {
            cpu_milli: 1_000_000,
            memory_mb: 1_000_000,
            accelerators: 0,
        };
        let customer = CustomerName::try_from("tailors").unwrap();
        let entry = CustomerEntry {
            quota,
            priority: 100,
        };
        bench
            .owner
            .set_customers(&[(customer, entry)].into_iter().collect());
        bench
    }

    pub fn wait(&mut self, millis: u64) {
        self.now = self.now.plus_millis(millis);
    }

    pub fn list(&mut self, workers: &[&str], takes_work: bool) {
        let facts = workers.iter().map(|worker| WorkerFacts {
            worker: worker_name(worker),
            zone: ZoneName::try_from("hki").unwrap(),
            rack: None,
            size: WORKER,
            takes_work,
        });
        let facts: Vec<_> = facts.collect();
        self.owner.set_workers(&facts, self.now);
    }

    pub fn submit(&mut self, job: &str, tasks: u32) {
        self.owner.submit_job(&order(job, tasks)).unwrap();
    }

    /// The sessions that are due.
    pub fn sessions(&mut self) -> Vec<SessionOrder> {
        self.owner.due_sessions(self.now)
    }

    /// Renews all sessions a second later; each worker shows its sightings.
    /// Returns the ended attempts that workers may forget.
    pub fn renew(&mut self, sightings: &[(&str, TaskSighting)]) -> Vec<String> {
        self.wait(1_000);
        let mut settled = Vec::new();
        for session in self.sessions() {
            let worker = session.worker.as_str();
            let shown = sightings.iter().filter(|(name, _)| *name == worker);
            let tasks: Vec<_> = shown.map(|(_, sighting)| sighting.clone()).collect();
            self.report(worker, session.ordinal, &tasks);
            let rows = session.settled.iter();
            settled.extend(rows.map(|(task, attempt)| format!("{worker} {task} {attempt}")));
        }
        settled
    }

    pub fn report(&mut self, worker: &str, ordinal: u64, tasks: &[TaskSighting]) {
        self.permit += 1;
        self.owner.observe_report(&ReportView {
            worker,
            ordinal,
            asked: self.now,
            permit: self.permit,
            tasks,
        });
    }

    pub fn plan(&mut self) {
        self.owner.plan_starts(self.now, 100);
    }

    /// Hands the batch out; empty when there is none.
    pub fn take(&mut self) -> Vec<CellTransition> {
        self.nonce += 1;
        match self.owner.take_batch(self.nonce).map(|entry| &entry.body) {
            Some(EntryBody::Batch(transitions)) => transitions.clone(),
            _ => Vec::new(),
        }
    }

    /// Puts the batch that was taken into the journal.
    pub fn done(&mut self, transitions: &[CellTransition]) -> Vec<CellEffect> {
        let entry = JournalEntry {
            sequence: self.journal.sequence().next(),
            writer: self.journal.owner().unwrap().clone(),
            nonce: self.nonce,
            body: EntryBody::Batch(transitions.to_vec()),
        };
        self.journal.fold(&entry);
        self.owner.settle_batch(CommitOutcome::Done)
    }

    /// Takes a batch, puts it into the journal, and checks that the journal folds
    /// to the owner's state.
    pub fn commit(&mut self) -> Vec<CellEffect> {
        let transitions = self.take();
        let effects = self.done(&transitions);
        assert_eq!(self.journal, *self.owner.state());
        effects
    }

    /// Submits a job and starts its tasks.
    pub fn run(&mut self, job: &str, tasks: u32) -> Vec<StartOrder> {
        self.renew(&[]);
        self.submit(job, tasks);
        self.plan();
        starts(self.commit())
    }

    pub fn stops(&mut self) -> Vec<StopOrder> {
        self.owner.due_stops()
    }

    pub const fn epoch(&self) -> CellEpoch {
        self.owner.epoch()
    }
}

/// The starts among effects; their answers are taken as received.
pub fn starts(effects: Vec<CellEffect>) -> Vec<StartOrder> {
    let start = |effect| match effect {
        CellEffect::Start(order) => Some(order),
        _ => None,
    };
    effects.into_iter().filter_map(start).collect()
}

pub fn order(job: &str, tasks: u32) -> JobOrder {
    JobOrder {
        job: JobName::try_from(job).unwrap(),
        customer: CustomerName::try_from("tailors").unwrap(),
        tasks,
        size: ResourceSize {
            cpu_milli: 1_000,
            memory_mb: 1_000,
            accelerators: 0,
        },
        run_ms: 90_000,
        urgent: false,
        zones: Vec::new(),
    }
}

pub fn task(job: &str, index: u32) -> TaskName {
    TaskName {
        job: JobName::try_from(job).unwrap(),
        index: TaskIndex::new(index),
    }
}

pub fn worker_name(worker: &str) -> WorkerName {
    WorkerName::try_from(worker).unwrap()
}

pub fn sighting(job: &str, attempt: u32, phase: SightedPhase, checkpoint_ms: u64) -> TaskSighting {
    TaskSighting {
        task: task(job, 0),
        attempt: AttemptNumber::new(attempt),
        phase,
        checkpoint_ms,
        usage: ResourceSize::default(),
        throttle_cpu_milli: None,
    }
}
