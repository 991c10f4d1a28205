//! A worker's state with short ways to call it.

use sapphirestile_core::AttemptNumber;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::TaskIndex;
use sapphirestile_core::TaskName;
use sapphirestile_standins::worker::WorkerSettings;
use sapphirestile_standins::worker::WorkerState;
use sapphirestile_wire::worker::KnownReport;
use sapphirestile_wire::worker::SessionReport;
use sapphirestile_wire::worker::SessionRequest;
use sapphirestile_wire::worker::TaskPhase;
use sapphirestile_wire::worker::TaskSettled;
use sapphirestile_wire::worker::TaskStart;
use sapphirestile_wire::worker::TaskStop;
use sapphirestile_wire::worker::TaskThrottle;
use sapphirestile_wire::worker::WorkerRefusal;

/// How long the leases of the bench last at first, in milliseconds.
pub const LEASE_MS: u64 = 5_000;

const CELL: CellNumber = CellNumber::new(1);
/// The life of the bench's worker.
pub const LIFE: IncarnationNumber = IncarnationNumber::new(1_000);

/// A worker of 4 cores that checkpoints every second of work.
pub struct WorkerBench {
    pub state: WorkerState,
    pub epoch: u64,
    pub permit: u64,
    pub lease_ms: u64,
    /// The report that requests name.
    pub known: Option<KnownReport>,
}

impl WorkerBench {
    pub fn new() -> Self {
        let settings = WorkerSettings {
            size: size(4_000),
            usage_lag_ms: 500,
            usage_permille: 500,
            checkpoint_every_ms: 1_000,
        };
        Self {
            state: WorkerState::new(settings, LIFE),
            known: None,
            epoch: 1,
            permit: 0,
            lease_ms: LEASE_MS,
        }
    }

    /// Renews the session and remembers the permit.
    pub fn renew(&mut self, now: u64, settled: &[u32]) -> Result<SessionReport, WorkerRefusal> {
        let settle = |index: &u32| TaskSettled {
            task: task(*index),
            attempt: AttemptNumber::new(1),
        };
        let request = SessionRequest {
            cell: CELL,
            epoch: CellEpoch::new(self.epoch),
            lease_ms: self.lease_ms,
            settled: settled.iter().map(settle).collect(),
            known: self.known,
        };
        let report = self.state.renew(MonoTime::from_millis(now), &request)?;
        self.permit = report.permit;
        Ok(report)
    }

    /// Names the latest report in requests from now on.
    pub const fn know(&mut self) {
        self.known = Some(KnownReport {
            incarnation: LIFE,
            permit: self.permit,
        });
    }

    /// A start of one core and `run_ms` that quotes the permit remembered.
    pub fn order(&self, index: u32, attempt: u32, run_ms: u64) -> TaskStart {
        TaskStart {
            cell: CELL,
            epoch: CellEpoch::new(self.epoch),
            permit: self.permit,
            task: task(index),
            attempt: AttemptNumber::new(attempt),
            size: size(1_000),
            run_ms,
            checkpoint_ms: 0,
        }
    }

    pub fn start(&mut self, now: u64, start: &TaskStart) -> Result<(), WorkerRefusal> {
        self.state.start(MonoTime::from_millis(now), start, false)
    }

    pub fn stop(
        &mut self,
        now: u64,
        index: u32,
        attempt: u32,
        checkpoint: bool,
    ) -> Result<(), WorkerRefusal> {
        let stop = TaskStop {
            cell: CELL,
            epoch: CellEpoch::new(self.epoch),
            task: task(index),
            attempt: AttemptNumber::new(attempt),
            checkpoint,
        };
        self.state.stop(MonoTime::from_millis(now), &stop)
    }

    pub fn throttle(&mut self, now: u64, index: u32, cpu_milli: u64) -> Result<(), WorkerRefusal> {
        let throttle = TaskThrottle {
            cell: CELL,
            epoch: CellEpoch::new(self.epoch),
            task: task(index),
            attempt: AttemptNumber::new(1),
            cpu_milli,
        };
        self.state.throttle(MonoTime::from_millis(now), &throttle)
    }

    /// Each task's phase and checkpoint as a renewal reports them.
    pub fn report(&mut self, now: u64) -> Vec<(u32, TaskPhase, u64)> {
        let report = self.renew(now, &[]).unwrap();
        let tasks = report.tasks.iter();
        tasks
            .map(|task| (task.task.index.get(), task.phase, task.checkpoint_ms))
            .collect()
    }

    /// When each attempt began and ended, in the order of the starts.
    pub fn intervals(&self) -> Vec<(u64, Option<u64>)> {
        let rows = self.state.history().iter();
        rows.map(|row| (row.started.as_millis(), row.ended.map(MonoTime::as_millis)))
            .collect()
    }
}

pub const fn size(cpu_milli: u64) -> ResourceSize {
    ResourceSize {
        cpu_milli,
        memory_mb: cpu_milli / 10,
        accelerators: 0,
    }
}

fn task(index: u32) -> TaskName {
    TaskName {
        job: JobName::try_from("patterns").unwrap(),
        index: TaskIndex::new(index),
    }
}
