//! State of a daemon.

use crate::job_ownership::assignment_state::AssignmentState;
use crate::job_ownership::commit_batch::CommitBatch;
use crate::job_ownership::job_bounds::WORKERS;
use crate::job_ownership::order_call::OrderCall;
use crate::job_ownership::poll_call::PollCall;
use crate::job_ownership::run_assignment::RunAssignment;
use crate::job_ownership::run_state::RunState;
use crate::job_ownership::tracked_run::TrackedRun;
use crate::job_ownership::tracked_worker::TrackedWorker;

/// State of a daemon. While it is not the owner, everything except its clock and
/// its latest read of the head row is empty.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobDaemon {
    /// Epoch in which it believes to be the owner; 0 if it does not.
    pub epoch: u8,
    /// Ticks by which its clock is behind the true time.
    pub clock_lag: u8,
    /// Time when it first read the latest write of the head row, on its clock; `None` if the
    /// row was written since its latest read. A daemon that is not the owner reads the row.
    pub read_at: Option<u8>,
    /// When every lease has ended that earlier owners granted, by worker, on its clock. Set by
    /// its claim.
    pub inherited_ends: [u8; WORKERS],
    /// Time when it sent its latest batch that was stored, or of its claim, on its clock. It
    /// may grant leases that end at most `AUTHORITY_TICKS` later.
    pub authority_start: u8,
    /// The assignment that it has decided on, which may not be stored yet.
    pub assignment: RunAssignment,
    /// Whether it has changes that it has not sent to the store.
    pub has_unsent_change: bool,
    /// The run that may be running, as far as it knows; `None` if none can be.
    pub run: Option<TrackedRun>,
    /// Batch in flight.
    pub batch: Option<CommitBatch>,
    /// Start order in flight.
    pub start_call: Option<OrderCall>,
    /// Stop order in flight.
    pub stop_call: Option<OrderCall>,
    /// Poll in flight.
    pub poll_call: Option<PollCall>,
    /// Its knowledge about each worker.
    pub workers: [TrackedWorker; WORKERS],
}

impl JobDaemon {
    /// The daemon after it has lost the ownership.
    pub(crate) fn deposed(self) -> Self {
        Self {
            clock_lag: self.clock_lag,
            ..Self::default()
        }
    }

    /// Whether it may grant leases to a worker: neither the latest write of the head row that
    /// is known to be stored nor the batch in flight lists the worker.
    pub(crate) fn may_grant(&self, worker: u8) -> bool {
        let index = usize::from(worker);
        let is_in_flight = self
            .batch
            .is_some_and(|batch| batch.lease_bounds[index].is_listed());
        !self.workers[index].is_listed && !is_in_flight
    }

    /// Whether the next batch lists a worker that the latest stored one does not list.
    pub(crate) fn has_worker_to_list(&self) -> bool {
        let mut workers = self.workers.iter();
        workers.any(|tracked| !tracked.is_usable() && !tracked.is_listed)
    }

    /// Whether the worker of its tracked run would get leases if the latest stored batch did
    /// not list it.
    pub(crate) fn has_worker_to_unlist(&self) -> bool {
        let tracked = self.run.map(|run| &self.workers[usize::from(run.worker)]);
        tracked.is_some_and(|tracked| tracked.is_usable() && tracked.is_listed)
    }

    /// Puts its clock, and its estimates of the workers' clocks, one tick further behind.
    pub(crate) fn delay_clock(&mut self) {
        self.clock_lag += 1;
        for tracked in &mut self.workers {
            tracked.clock_lag += u8::from(tracked.has_responded);
        }
    }

    /// Removes the tracked run, which has ended or will never start. The task waits again
    /// unless it is done.
    pub(crate) fn settle_run(&mut self) {
        self.run = None;
        if self.assignment.state != AssignmentState::Done {
            self.assignment.state = AssignmentState::Waiting;
        }
        self.has_unsent_change = true;
    }

    /// Marks the task as done. If a run of it is tracked, it is withdrawn or has to be
    /// stopped.
    pub(crate) fn finish_task(&mut self) {
        self.assignment.state = AssignmentState::Done;
        self.has_unsent_change = true;
        match &mut self.run {
            Some(run) if run.state == RunState::Planned => self.run = None,
            Some(run) if run.state != RunState::Stopping => {
                run.state = RunState::StopPending;
            }
            _ => {}
        }
    }
}
