//! State of the job protocol.

use crate::bounded_set::BoundedSet;
use crate::job_ownership::addressed_order::AddressedOrder;
use crate::job_ownership::assignment_state::AssignmentState;
use crate::job_ownership::commit_batch::CommitBatch;
use crate::job_ownership::job_bounds::DAEMONS;
use crate::job_ownership::job_bounds::JobBounds;
use crate::job_ownership::job_bounds::LATE_ORDERS;
use crate::job_ownership::job_bounds::LEASE_TICKS;
use crate::job_ownership::job_bounds::RUNS;
use crate::job_ownership::job_bounds::WORKERS;
use crate::job_ownership::job_daemon::JobDaemon;
use crate::job_ownership::job_store_state::JobStoreState;
use crate::job_ownership::job_worker::JobWorker;
use crate::job_ownership::lease_bound::LeaseBound;
use crate::job_ownership::run_assignment::RunAssignment;
use crate::job_ownership::run_state::RunState;
use crate::job_ownership::tracked_run::TrackedRun;

/// State of the store, the daemons, the workers and late orders, how often the bounded
/// actions can still happen, and the facts about the past that the properties check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobState {
    /// True time in ticks, which the clocks of the workers show.
    pub(crate) now: u8,
    pub(crate) store: JobStoreState,
    pub(crate) daemons: [JobDaemon; DAEMONS],
    pub(crate) workers: [JobWorker; WORKERS],
    /// Orders that can still arrive after their sender gave up waiting.
    pub(crate) late_orders: BoundedSet<AddressedOrder, LATE_ORDERS>,
    /// Claims that can still happen.
    pub(crate) claims: u8,
    /// Orders and polls whose sender can still give up waiting.
    pub(crate) losses: u8,
    /// Times that the process at the first worker's address can still be replaced.
    pub(crate) replacements: u8,
    /// Worker that each run was assigned to in the store, by run number from 1; `None`
    /// before that.
    pub(crate) assigned_workers: [Option<u8>; RUNS],
    /// Whether the end of a run that completed the task was acknowledged to its worker,
    /// before the lease of the worker expired.
    pub(crate) is_done_acknowledged: bool,
    /// The first property that a step has broken.
    pub(crate) violation: Option<&'static str>,
}

impl JobState {
    /// The initial state: daemon 0 owns the jobs, and both workers have responded to it.
    pub(crate) fn initial(bounds: JobBounds) -> Self {
        let mut state = Self {
            now: 0,
            store: JobStoreState::default(),
            daemons: [JobDaemon::default(); DAEMONS],
            workers: [JobWorker::default(); WORKERS],
            late_orders: BoundedSet::new(),
            claims: bounds.claims,
            losses: bounds.losses,
            replacements: bounds.replacements,
            assigned_workers: [None; RUNS],
            is_done_acknowledged: false,
            violation: None,
        };
        state.store.epoch = 1;
        state.daemons[0].epoch = 1;
        for (worker, tracked) in state.workers.iter_mut().zip(&mut state.daemons[0].workers) {
            worker.epoch = 1;
            tracked.has_responded = true;
        }
        if bounds.starts_running {
            state.begin_first_run();
        }
        state
    }

    /// Makes the task run on worker 0. Its owner has seen it running and has sent a batch.
    fn begin_first_run(&mut self) {
        let assignment = RunAssignment {
            run: 1,
            state: AssignmentState::Assigned(0),
        };
        self.store.assignment = assignment;
        self.assigned_workers[0] = Some(0);
        self.workers[0].running = Some(1);
        self.workers[0].lease_end = LEASE_TICKS;
        let owner = &mut self.daemons[0];
        owner.assignment = assignment;
        owner.workers[0].lease_end = LEASE_TICKS;
        owner.run = Some(TrackedRun {
            worker: 0,
            run: 1,
            state: RunState::Running,
        });
        owner.batch = Some(CommitBatch {
            assignment,
            defers_start: false,
            received_ends: [0; WORKERS],
            lease_bounds: [LeaseBound::MayBeGranted; WORKERS],
            sent_at: 0,
            is_stored: None,
        });
    }

    /// Reading of a daemon's clock, in ticks.
    pub(crate) const fn clock_of(&self, daemon: u8) -> u8 {
        self.now - self.daemons[daemon as usize].clock_lag
    }

    /// A daemon's estimate of a worker's clock, in ticks.
    pub(crate) const fn worker_clock(&self, daemon: u8, worker: u8) -> u8 {
        let tracked = &self.daemons[daemon as usize].workers[worker as usize];
        self.now.saturating_sub(tracked.clock_lag)
    }

    /// Whether the task runs on more than one worker.
    pub(crate) fn runs_on_two_workers(&self) -> bool {
        let workers = self.workers.iter();
        workers.filter(|worker| worker.running.is_some()).count() > 1
    }

    /// Records that a step has broken `property`, unless another one was broken before.
    pub(crate) fn record_violation(&mut self, property: &'static str) {
        self.violation.get_or_insert(property);
    }
}
