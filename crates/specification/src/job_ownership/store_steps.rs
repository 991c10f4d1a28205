//! Steps of the store.

use crate::job_ownership::assignment_state::AssignmentState;
use crate::job_ownership::job_daemon::JobDaemon;
use crate::job_ownership::job_model::JobModel;
use crate::job_ownership::job_mutation::JobMutation;
use crate::job_ownership::job_state::JobState;
use crate::job_ownership::run_state::RunState;
use crate::job_ownership::tracked_run::TrackedRun;

impl JobModel {
    /// A daemon claims the head row and reads the stored assignment.
    pub(super) fn claim(state: &mut JobState, daemon: u8) {
        state.claims -= 1;
        state.store.epoch += 1;
        let claimed_at = state.clock_of(daemon);
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
            claimed_at,
            authority_start: claimed_at,
            assignment,
            run,
            ..before.deposed()
        };
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
        state.store.assignment = assignment;
        if let AssignmentState::Assigned(worker) = assignment.state {
            state.assigned_workers[usize::from(assignment.run) - 1] = Some(worker);
        }
    }
}
