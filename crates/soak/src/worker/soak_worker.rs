//! A simulated worker.

use crate::WorkerCall;
use sapphirestile_cells::AttemptReport;
use sapphirestile_cells::AttemptStart;
use sapphirestile_cells::AttemptStop;
use sapphirestile_cells::ReportChanges;
use sapphirestile_cells::ReportedPhase;
use sapphirestile_cells::SessionRenewal;
use sapphirestile_cells::ThrottleRequest;
use sapphirestile_cells::WorkerFacts;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::CellNumber;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;
use sapphirestile_core::ZoneName;
use sapphirestile_standins::worker::HistoryEntry;
use sapphirestile_standins::worker::WorkerSettings;
use sapphirestile_standins::worker::WorkerState;
use sapphirestile_wire::worker::SessionRequest;
use sapphirestile_wire::worker::TaskPhase;
use sapphirestile_wire::worker::TaskStart;
use sapphirestile_wire::worker::TaskStop;
use sapphirestile_wire::worker::TaskThrottle;

const LEASE_MS: u64 = 20_000;
/// A worker numbers its permits from its incarnation number, so the distance has to be larger
/// than the number of permits that one incarnation issues.
const PERMITS_PER_INCARNATION: u64 = 1_000_000;

/// Size of every simulated worker.
pub const WORKER_SIZE: ResourceSize = ResourceSize {
    cpu_milli: 8_000,
    memory_mb: 16_000,
    accelerators: 0,
};

/// A worker on a VM: the state of the worker stand-in with its own clock.
#[derive(Clone, Debug)]
pub struct SoakWorker {
    /// Unique within the run; never reused for a later VM.
    pub name: WorkerName,
    /// The cell that it belongs to; fixed.
    pub cell: CellNumber,
    /// The zone of its VM; fixed.
    pub zone: ZoneName,
    /// When its VM is created, in milliseconds of virtual time; may be in the future.
    pub created_ms: u64,
    /// When its VM was removed, in milliseconds of virtual time; `None` while it exists.
    pub removed_ms: Option<u64>,
    /// Every attempt that is started before this time fails; milliseconds of virtual time.
    pub faulty_until_ms: u64,
    /// Lead of its monotonic clock over the virtual time, in milliseconds.
    clock_offset_ms: u64,
    /// Number of times that the worker program was started.
    incarnations: u64,
    /// Attempts that finished but were lost in a restart while the worker still reported them.
    /// The owner may not have seen their end, so their tasks may run again.
    forgotten: Vec<(TaskName, AttemptNumber)>,
    state: WorkerState,
}

impl SoakWorker {
    /// Creates an idle worker whose VM exists from `created_ms` on. `usage_permille` is what its
    /// tasks use of their size, in thousandths.
    #[must_use]
    pub fn new(
        name: WorkerName,
        cell: CellNumber,
        zone: ZoneName,
        created_ms: u64,
        clock_offset_ms: u64,
        usage_permille: u64,
    ) -> Self {
        let settings = WorkerSettings {
            size: WORKER_SIZE,
            usage_lag_ms: 500,
            usage_permille,
            checkpoint_every_ms: 1_000,
        };
        Self {
            name,
            cell,
            zone,
            created_ms,
            removed_ms: None,
            faulty_until_ms: 0,
            clock_offset_ms,
            incarnations: 1,
            forgotten: Vec::new(),
            state: WorkerState::new(settings, incarnation_of(1)),
        }
    }

    /// Whether its VM exists at `at_ms` of virtual time.
    #[must_use]
    pub fn exists_at(&self, at_ms: u64) -> bool {
        self.created_ms <= at_ms && self.removed_ms.is_none_or(|removed_ms| at_ms < removed_ms)
    }

    /// The facts that a daemon derives from the VM list and the document. `takes_work` is false
    /// when the document takes the worker's zone out of service.
    #[must_use]
    pub fn facts(&self, takes_work: bool) -> WorkerFacts {
        WorkerFacts {
            worker: self.name.clone(),
            zone: self.zone.clone(),
            rack: None,
            size: WORKER_SIZE,
            takes_work,
        }
    }

    /// Renews the session of the calling owner and returns the changed attempts. `None` when
    /// the worker refuses the renewal.
    pub fn renew(
        &mut self,
        now_ms: u64,
        call: &WorkerCall,
        renewal: &SessionRenewal,
    ) -> Option<ReportChanges> {
        let request = SessionRequest::of(call.cell, renewal, LEASE_MS);
        let report = self.state.renew(self.clock(now_ms), &request).ok()?;
        Some(report.into())
    }

    /// All attempts on the worker at `now_ms`, as a full report.
    #[must_use]
    pub fn attempts(&self, now_ms: u64) -> Vec<AttemptReport> {
        let reports = self.state.reports(self.clock(now_ms)).into_iter();
        reports.map(Into::into).collect()
    }

    /// Restarts the worker program, which loses its sessions and attempts.
    pub fn restart(&mut self, now_ms: u64) {
        let clock = self.clock(now_ms);
        self.state.advance(clock);
        let attempts = self.attempts(now_ms).into_iter();
        let finished = attempts.filter(|report| report.phase == ReportedPhase::Finished);
        self.forgotten
            .extend(finished.map(|report| (report.task, report.attempt)));
        self.incarnations += 1;
        self.state.restart(clock, incarnation_of(self.incarnations));
    }

    /// Handles a start. Returns whether an attempt was started: false when it was refused or
    /// known already. With `fails`, the attempt fails at once.
    pub fn start(
        &mut self,
        now_ms: u64,
        cell: CellNumber,
        request: &AttemptStart,
        fails: bool,
    ) -> bool {
        let start = TaskStart::of(cell, request);
        let before = self.state.history().len();
        let clock = self.clock(now_ms);
        let _answer = self
            .state
            .start(clock, &start, fails || now_ms < self.faulty_until_ms);
        self.state.history().len() > before
    }

    /// Handles a stop; a refusal is ignored.
    pub fn stop(&mut self, now_ms: u64, cell: CellNumber, request: &AttemptStop) {
        let stop = TaskStop::of(cell, request);
        let clock = self.clock(now_ms);
        let _answer = self.state.stop(clock, &stop);
    }

    /// Handles a throttle; a refusal is ignored.
    pub fn throttle(&mut self, now_ms: u64, cell: CellNumber, request: &ThrottleRequest) {
        let throttle = TaskThrottle::of(cell, request);
        let clock = self.clock(now_ms);
        let _answer = self.state.throttle(clock, &throttle);
    }

    /// Whether an attempt that matches `predicate` is running at `now_ms`. False when the VM
    /// does not exist.
    pub fn is_running(&mut self, now_ms: u64, predicate: impl Fn(&HistoryEntry) -> bool) -> bool {
        if !self.exists_at(now_ms) {
            return false;
        }
        let clock = self.clock(now_ms);
        self.state.advance(clock);
        let mut rows = self.state.history().iter();
        rows.any(|row| row.ended.is_none() && predicate(row))
    }

    /// Whether this attempt ran to its end on this worker, in any incarnation.
    #[must_use]
    pub fn has_finished_attempt(&self, task: &TaskName, attempt: AttemptNumber) -> bool {
        self.state.history().iter().any(|row| {
            row.task == *task && row.attempt == attempt && row.phase == TaskPhase::Finished
        })
    }

    /// Whether an attempt of the task ran to its end on this worker and was not lost in a
    /// restart before the owner settled its end.
    #[must_use]
    pub fn has_finished_task(&self, task: &TaskName) -> bool {
        let rows = self.state.history().iter();
        let mut finished = rows.filter(|row| row.task == *task && row.phase == TaskPhase::Finished);
        finished.any(|row| {
            let mut forgotten = self.forgotten.iter();
            !forgotten.any(|(task, attempt)| *task == row.task && *attempt == row.attempt)
        })
    }

    const fn clock(&self, now_ms: u64) -> MonoTime {
        MonoTime::from_millis(now_ms + self.clock_offset_ms)
    }
}

const fn incarnation_of(ordinal: u64) -> IncarnationNumber {
    IncarnationNumber::new(ordinal * PERMITS_PER_INCARNATION)
}
