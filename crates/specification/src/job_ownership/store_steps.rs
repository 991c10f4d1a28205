//! Steps of the store.

use crate::job_ownership::assignment_state::AssignmentState;
use crate::job_ownership::job_bounds::AUTHORITY_TICKS;
use crate::job_ownership::job_bounds::BOUND_TICKS;
use crate::job_ownership::job_bounds::WORKERS;
use crate::job_ownership::job_daemon::JobDaemon;
use crate::job_ownership::job_model::JobModel;
use crate::job_ownership::job_mutation::JobMutation;
use crate::job_ownership::job_state::JobState;
use crate::job_ownership::lease_bound::LeaseBound;
use crate::job_ownership::run_state::RunState;
use crate::job_ownership::tracked_run::TrackedRun;

impl JobModel {
    /// A daemon that is not the owner reads the head row for the first time since its latest
    /// write.
    pub(super) fn read_head(state: &mut JobState, daemon: u8) {
        let now = state.clock_of(daemon);
        state.daemons[usize::from(daemon)].read_at = Some(now);
    }

    /// A daemon claims the head row as it was read last, and reads the stored assignment. The
    /// claim lists all workers, with what is left of the bounds that were read. A daemon that
    /// has not read the latest write does so in the same step.
    pub(super) fn claim(self, state: &mut JobState, daemon: u8) {
        state.claims -= 1;
        state.store.epoch += 1;
        let claimed_at = state.clock_of(daemon);
        let inherited_ends = self.inherited_ends(state, daemon);
        state.store.lease_bounds = inherited_ends.map(|end| LeaseBound::Listed {
            left: end.saturating_sub(claimed_at),
        });
        self.outdate_reads(state);
        let assignment = state.store.assignment;
        let run = match assignment.state {
            AssignmentState::Assigned(worker) => Some(TrackedRun {
                worker,
                run: assignment.run,
                state: RunState::Inherited,
            }),
            _ => None,
        };
        let before = state.daemons[usize::from(daemon)];
        state.daemons[usize::from(daemon)] = JobDaemon {
            epoch: state.store.epoch,
            inherited_ends,
            authority_start: claimed_at,
            assignment,
            run,
            ..before.deposed()
        };
        for tracked in &mut state.daemons[usize::from(daemon)].workers {
            tracked.is_listed = self.mutation != Some(JobMutation::GrantBeforeFirstBatch);
        }
    }

    /// When every lease has ended that earlier owners granted, by worker, on the clock of the
    /// daemon that claims.
    fn inherited_ends(self, state: &JobState, daemon: u8) -> [u8; WORKERS] {
        let claimed_at = state.clock_of(daemon);
        let read_at = state.daemons[usize::from(daemon)].read_at;
        let read_at = read_at.unwrap_or(claimed_at);
        state.store.lease_bounds.map(|bound| match self.mutation {
            Some(JobMutation::WaitAnew) => claimed_at + BOUND_TICKS,
            Some(JobMutation::ShortInheritedWait) if !bound.is_listed() => {
                read_at + AUTHORITY_TICKS
            }
            _ => read_at + bound.left(),
        })
    }

    /// The head row was written, so no daemon has read its latest write.
    fn outdate_reads(self, state: &mut JobState) {
        if self.mutation == Some(JobMutation::BoundFromEarlierRead) {
            return;
        }
        for daemon in &mut state.daemons {
            daemon.read_at = None;
        }
    }

    /// The store applies a batch, or rejects it if its sender's epoch is not that of the
    /// head row.
    pub(super) fn process_batch(self, state: &mut JobState, daemon: u8) {
        let index = usize::from(daemon);
        let is_guarded = self.mutation != Some(JobMutation::NoHeadGuard);
        let is_owner = state.daemons[index].epoch == state.store.epoch;
        let Some(batch) = &mut state.daemons[index].batch else {
            return;
        };
        let is_stored = is_owner || !is_guarded;
        batch.is_stored = Some(is_stored);
        if !is_stored {
            return;
        }
        let assignment = batch.assignment;
        state.store.lease_bounds = batch.lease_bounds;
        state.store.assignment = assignment;
        if let AssignmentState::Assigned(worker) = assignment.state {
            state.assigned_workers[usize::from(assignment.run) - 1] = Some(worker);
        }
        self.outdate_reads(state);
    }
}
