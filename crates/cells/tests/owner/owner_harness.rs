//! A harness that drives an owner and keeps the journal that it wrote.

use sapphirestile_cells::ArraySpec;
use sapphirestile_cells::AttemptReport;
use sapphirestile_cells::AttemptStart;
use sapphirestile_cells::AttemptStop;
use sapphirestile_cells::CellEffect;
use sapphirestile_cells::CellOwner;
use sapphirestile_cells::CellState;
use sapphirestile_cells::CellTransition;
use sapphirestile_cells::CommitOutcome;
use sapphirestile_cells::EntryBody;
use sapphirestile_cells::JournalEntry;
use sapphirestile_cells::OwningPhase;
use sapphirestile_cells::ReportView;
use sapphirestile_cells::ReportedPhase;
use sapphirestile_cells::SessionRenewal;
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

/// An owner, its clock, and the fold of the entries that it committed.
pub struct OwnerHarness {
    pub owner: CellOwner<OwningPhase>,
    pub now: MonoTime,
    pub journal: CellState,
    nonce: u64,
    permit: u64,
}

impl OwnerHarness {
    /// A new owner of an empty cell with the workers w1 and w2, both in zone hki.
    pub fn new() -> Self {
        Self::adopt(CellState::default(), 1)
    }

    /// The next owner of a cell, as this incarnation of the daemon.
    pub fn adopt(mut journal: CellState, incarnation: u64) -> Self {
        let identity = DaemonIdentity {
            daemon: DaemonName::try_from("entry-1").unwrap(),
            incarnation: IncarnationNumber::new(incarnation),
        };
        let claiming = CellOwner::claim(CellNumber::new(0), identity, journal.clone(), 1);
        journal.fold(claiming.entry());
        let mut harness = Self {
            owner: claiming.claimed(),
            now: MonoTime::from_millis(10_000),
            journal,
            nonce: 1,
            permit: 100,
        };
        harness.set_workers(&["w1", "w2"], true);
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
        harness
            .owner
            .set_customers(&[(customer, entry)].into_iter().collect());
        harness
    }

    pub fn wait(&mut self, millis: u64) {
        self.now = self.now.plus_millis(millis);
    }

    pub fn set_workers(&mut self, workers: &[&str], takes_work: bool) {
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
        self.owner.submit_job(&array_spec(job, tasks)).unwrap();
    }

    /// Takes the sessions that are due.
    pub fn sessions(&mut self) -> Vec<SessionRenewal> {
        self.owner.due_sessions(self.now)
    }

    /// Renews all sessions a second later; each worker answers with its attempt reports.
    /// Returns the ended attempts that workers may forget.
    pub fn renew(&mut self, attempt_reports: &[(&str, AttemptReport)]) -> Vec<String> {
        self.wait(1_000);
        let mut settled = Vec::new();
        for session in self.sessions() {
            let worker = session.worker.as_str();
            let reported = attempt_reports.iter().filter(|(name, _)| *name == worker);
            let tasks: Vec<_> = reported
                .map(|(_, attempt_report)| attempt_report.clone())
                .collect();
            self.report(worker, session.ordinal, &tasks);
            let rows = session.settled.iter();
            settled.extend(rows.map(|(task, attempt)| format!("{worker} {task} {attempt}")));
        }
        settled
    }

    pub fn report(&mut self, worker: &str, ordinal: u64, tasks: &[AttemptReport]) {
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

    /// Takes the next batch; empty when there is none.
    pub fn take(&mut self) -> Vec<CellTransition> {
        self.nonce += 1;
        match self.owner.take_batch(self.nonce).map(|entry| &entry.body) {
            Some(EntryBody::Batch(transitions)) => transitions.clone(),
            _ => Vec::new(),
        }
    }

    /// Writes the taken batch to the journal.
    pub fn settle(&mut self, transitions: &[CellTransition]) -> Vec<CellEffect> {
        let entry = JournalEntry {
            sequence: self.journal.sequence().next(),
            writer: self.journal.owner().unwrap().clone(),
            nonce: self.nonce,
            body: EntryBody::Batch(transitions.to_vec()),
        };
        self.journal.fold(&entry);
        self.owner.settle_batch(CommitOutcome::Done)
    }

    /// Takes a batch, writes it to the journal, and checks that the journal folds to the
    /// owner's state.
    pub fn commit(&mut self) -> Vec<CellEffect> {
        let transitions = self.take();
        let effects = self.settle(&transitions);
        assert_eq!(self.journal, *self.owner.state());
        effects
    }

    /// Submits a job and starts its tasks.
    pub fn run(&mut self, job: &str, tasks: u32) -> Vec<AttemptStart> {
        self.renew(&[]);
        self.submit(job, tasks);
        self.plan();
        starts(self.commit())
    }

    pub fn stops(&mut self) -> Vec<AttemptStop> {
        self.owner.due_stops()
    }

    pub const fn epoch(&self) -> CellEpoch {
        self.owner.epoch()
    }
}

/// The starts among the effects. Their calls stay unanswered until the test calls
/// `start_answered`.
pub fn starts(effects: Vec<CellEffect>) -> Vec<AttemptStart> {
    let start = |effect| match effect {
        CellEffect::Start(request) => Some(request),
        _ => None,
    };
    effects.into_iter().filter_map(start).collect()
}

pub fn array_spec(job: &str, tasks: u32) -> ArraySpec {
    ArraySpec {
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

pub fn attempt_report(
    job: &str,
    attempt: u32,
    phase: ReportedPhase,
    checkpoint_ms: u64,
) -> AttemptReport {
    AttemptReport {
        task: task(job, 0),
        attempt: AttemptNumber::new(attempt),
        phase,
        checkpoint_ms,
        usage: ResourceSize::default(),
        throttle_cpu_milli: None,
    }
}
