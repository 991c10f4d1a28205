//! The whole state of the owner's protocol.

use crate::bounded_set::BoundedSet;
use crate::job_ownership::assigned_phase::AssignedPhase;
use crate::job_ownership::job_bounds::DAEMONS;
use crate::job_ownership::job_bounds::JobBounds;
use crate::job_ownership::job_bounds::LATE_ORDERS;
use crate::job_ownership::job_bounds::LEASE_TICKS;
use crate::job_ownership::job_bounds::RUNS;
use crate::job_ownership::job_bounds::WORKERS;
use crate::job_ownership::job_daemon::JobDaemon;
use crate::job_ownership::job_store_state::JobStoreState;
use crate::job_ownership::job_worker::JobWorker;
use crate::job_ownership::known_run::KnownRun;
use crate::job_ownership::known_standing::KnownStanding;
use crate::job_ownership::late_order::LateOrder;
use crate::job_ownership::record_write::RecordWrite;
use crate::job_ownership::run_assignment::RunAssignment;

/// Store, daemons, workers, late orders, and what is left of the bounded events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobState {
    /// The true time, in ticks.
    pub(crate) now: u8,
    pub(crate) store: JobStoreState,
    pub(crate) daemons: [JobDaemon; DAEMONS],
    pub(crate) workers: [JobWorker; WORKERS],
    pub(crate) late: BoundedSet<LateOrder, LATE_ORDERS>,
    pub(crate) claims: u8,
    pub(crate) losses: u8,
    /// The worker to which each run was assigned in the store.
    pub(crate) assigned: [Option<u8>; RUNS],
    /// Whether an end that was done, and stands, was noted at its worker.
    pub(crate) is_finished: bool,
    /// The first property that was broken.
    pub(crate) broken: Option<&'static str>,
}

impl JobState {
    /// The first daemon owns the jobs, and both workers have answered it.
    pub(crate) fn first(bounds: JobBounds) -> Self {
        let mut state = Self {
            now: 0,
            store: JobStoreState::default(),
            daemons: [JobDaemon::default(); DAEMONS],
            workers: [JobWorker::default(); WORKERS],
            late: BoundedSet::new(),
            claims: bounds.claims,
            losses: bounds.losses,
            assigned: [None; RUNS],
            is_finished: false,
            broken: None,
        };
        state.store.epoch = 1;
        state.daemons[0].epoch = 1;
        for (here, known) in state.workers.iter_mut().zip(&mut state.daemons[0].workers) {
            here.epoch = 1;
            known.is_heard = true;
        }
        if bounds.is_begun {
            state.begin_run();
        }
        state
    }

    /// The task runs at the first worker, its owner has seen it and sent a batch.
    fn begin_run(&mut self) {
        let assignment = RunAssignment {
            run: 1,
            phase: AssignedPhase::Assigned(0),
        };
        self.store.assignment = assignment;
        self.assigned[0] = Some(0);
        self.workers[0].running = Some(1);
        self.workers[0].lease_end = LEASE_TICKS;
        let owner = &mut self.daemons[0];
        owner.assignment = assignment;
        owner.workers[0].lease_end = LEASE_TICKS;
        owner.run = Some(KnownRun {
            worker: 0,
            run: 1,
            standing: KnownStanding::Running,
        });
        owner.write = Some(RecordWrite {
            assignment,
            holds_start: false,
            ends: [0; WORKERS],
            sent: 0,
            is_stored: None,
        });
    }

    /// What a daemon's clock shows.
    pub(crate) const fn clock_of(&self, daemon: u8) -> u8 {
        self.now - self.daemons[daemon as usize].clock_lag
    }

    /// What a daemon takes a worker's clock to show.
    pub(crate) const fn worker_clock(&self, daemon: u8, worker: u8) -> u8 {
        let known = &self.daemons[daemon as usize].workers[worker as usize];
        self.now.saturating_sub(known.clock_lag)
    }

    /// Whether the task runs at more than one worker.
    pub(crate) fn runs_twice(&self) -> bool {
        let workers = self.workers.iter();
        workers.filter(|worker| worker.running.is_some()).count() > 1
    }

    /// Takes note of the first property that is broken.
    pub(crate) fn break_property(&mut self, property: &'static str) {
        self.broken.get_or_insert(property);
    }
}
