//! A worker of a run.

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
const PERMITS_A_LIFE: u64 = 1_000_000;

/// The size of every worker of a run.
pub const WORKER_SIZE: ResourceSize = ResourceSize {
    cpu_milli: 8_000,
    memory_mb: 16_000,
    accelerators: 0,
};

/// A worker: the state of the stand-in, with a clock of its own.
#[derive(Clone, Debug)]
pub struct SoakWorker {
    /// Its name.
    pub name: WorkerName,
    /// Its cell.
    pub cell: CellNumber,
    /// Its zone.
    pub zone: ZoneName,
    /// When its VM came, in milliseconds.
    pub since: u64,
    /// When its VM went for good, in milliseconds.
    pub gone: Option<u64>,
    /// Until when every task fails on it, in milliseconds.
    pub bad_until: u64,
    /// How far its clock is ahead, in milliseconds.
    offset: u64,
    lives: u64,
    /// Attempts that finished and were forgotten with the life that ran them.
    unsettled: Vec<(TaskName, AttemptNumber)>,
    state: WorkerState,
}

impl SoakWorker {
    /// A worker whose VM comes at `since`.
    #[must_use]
    pub fn new(
        name: WorkerName,
        cell: CellNumber,
        zone: ZoneName,
        since: u64,
        offset: u64,
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
            since,
            gone: None,
            bad_until: 0,
            offset,
            lives: 1,
            unsettled: Vec::new(),
            state: WorkerState::new(settings, incarnation_of(1)),
        }
    }

    /// Whether its VM was there at `at`, in milliseconds.
    #[must_use]
    pub fn lives(&self, at: u64) -> bool {
        self.since <= at && self.gone.is_none_or(|gone| at < gone)
    }

    /// What the list of VMs and a document without the zones `out` say of it.
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

    /// Takes a session call, and answers with what has changed.
    pub fn renew(
        &mut self,
        now: u64,
        call: &WorkerCall,
        order: &SessionRenewal,
    ) -> Option<ReportChanges> {
        let request = SessionRequest::of(call.cell, order, LEASE_MS);
        let report = self.state.renew(self.clock(now), &request).ok()?;
        Some(report.into())
    }

    /// Every attempt as it is on the worker.
    #[must_use]
    pub fn held(&self, now: u64) -> Vec<AttemptReport> {
        let reports = self.state.reports(self.clock(now)).into_iter();
        reports.map(Into::into).collect()
    }

    /// Begins a later life of the worker's program, which knows nothing.
    pub fn restart(&mut self, now: u64) {
        let clock = self.clock(now);
        self.state.advance(clock);
        let held = self.held(now).into_iter();
        let finished = held.filter(|sighting| sighting.phase == ReportedPhase::Finished);
        self.unsettled
            .extend(finished.map(|sighting| (sighting.task, sighting.attempt)));
        self.lives += 1;
        self.state.restart(clock, incarnation_of(self.lives));
    }

    /// Takes a start, and says whether an attempt began.
    pub fn start(&mut self, now: u64, cell: CellNumber, order: &AttemptStart, fails: bool) -> bool {
        let start = TaskStart::of(cell, order);
        let before = self.state.history().len();
        let clock = self.clock(now);
        let _answer = self
            .state
            .start(clock, &start, fails || now < self.bad_until);
        self.state.history().len() > before
    }

    /// Takes a stop.
    pub fn stop(&mut self, now: u64, cell: CellNumber, order: &AttemptStop) {
        let stop = TaskStop::of(cell, order);
        let clock = self.clock(now);
        let _answer = self.state.stop(clock, &stop);
    }

    /// Takes a throttle.
    pub fn throttle(&mut self, now: u64, cell: CellNumber, order: &ThrottleRequest) {
        let throttle = TaskThrottle::of(cell, order);
        let clock = self.clock(now);
        let _answer = self.state.throttle(clock, &throttle);
    }

    /// Whether an attempt that `wanted` names runs at `now`.
    pub fn runs(&mut self, now: u64, wanted: impl Fn(&HistoryEntry) -> bool) -> bool {
        if !self.lives(now) {
            return false;
        }
        let clock = self.clock(now);
        self.state.advance(clock);
        let mut rows = self.state.history().iter();
        rows.any(|row| row.ended.is_none() && wanted(row))
    }

    /// Whether the attempt did all its work here.
    #[must_use]
    pub fn has_finished(&self, task: &TaskName, attempt: AttemptNumber) -> bool {
        self.state.history().iter().any(|row| {
            row.task == *task && row.attempt == attempt && row.phase == TaskPhase::Finished
        })
    }

    /// Whether an attempt of the task did all its work here, and was not forgotten
    /// before its end was settled.
    #[must_use]
    pub fn has_done(&self, task: &TaskName) -> bool {
        let rows = self.state.history().iter();
        let mut done = rows.filter(|row| row.task == *task && row.phase == TaskPhase::Finished);
        done.any(|row| {
            let mut unsettled = self.unsettled.iter();
            !unsettled.any(|(task, attempt)| *task == row.task && *attempt == row.attempt)
        })
    }

    const fn clock(&self, now: u64) -> MonoTime {
        MonoTime::from_millis(now + self.offset)
    }
}

const fn incarnation_of(life: u64) -> IncarnationNumber {
    IncarnationNumber::new(life * PERMITS_A_LIFE)
}
