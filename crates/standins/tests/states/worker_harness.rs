//! A worker's state with shorthands for calls to it.

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

/// The initial value of [`WorkerHarness::lease_ms`], in milliseconds.
pub const LEASE_MS: u64 = 5_000;

const CELL: CellNumber = CellNumber::new(1);
/// The incarnation of the worker; its first permit is 1,001.
pub const INCARNATION: IncarnationNumber = IncarnationNumber::new(1_000);

/// A worker with 4 cores, a usage lag of 500 ms and a checkpoint after every second of work.
/// Tasks use half of their declared size. All calls are made by the owner of one cell.
pub struct WorkerHarness {
    pub state: WorkerState,
    /// The epoch of the calls.
    pub epoch: u64,
    /// The permit of the last successful renewal.
    pub permit: u64,
    /// The lease that renewals request, in milliseconds.
    pub lease_ms: u64,
    /// The report that renewals name as received; `None` to request full reports.
    pub known: Option<KnownReport>,
}

impl WorkerHarness {
    pub fn new() -> Self {
        let settings = WorkerSettings {
            size: size(4_000),
            usage_lag_ms: 500,
            usage_permille: 500,
            checkpoint_every_ms: 1_000,
        };
        Self {
            state: WorkerState::new(settings, INCARNATION),
            known: None,
            epoch: 1,
            permit: 0,
            lease_ms: LEASE_MS,
        }
    }

    /// Renews the session and keeps the permit. `settled` are indexes of tasks whose first
    /// attempt is settled.
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

    /// Names the latest report as received in renewals from now on.
    pub const fn acknowledge(&mut self) {
        self.known = Some(KnownReport {
            incarnation: INCARNATION,
            permit: self.permit,
        });
    }

    /// The start of an attempt with one core and `run_ms` that quotes the current permit.
    pub fn task_start(&self, index: u32, attempt: u32, run_ms: u64) -> TaskStart {
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

    /// Renews the session. Returns the index, phase and checkpoint of each reported attempt.
    pub fn report(&mut self, now: u64) -> Vec<(u32, TaskPhase, u64)> {
        let report = self.renew(now, &[]).unwrap();
        let tasks = report.tasks.iter();
        tasks
            .map(|task| (task.task.index.get(), task.phase, task.checkpoint_ms))
            .collect()
    }

    /// When each attempt was started and ended, in the order of the starts.
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
