//! What each step does to the store.

use crate::job_ownership::assigned_phase::AssignedPhase;
use crate::job_ownership::job_daemon::JobDaemon;
use crate::job_ownership::job_model::JobModel;
use crate::job_ownership::job_mutation::JobMutation;
use crate::job_ownership::job_state::JobState;
use crate::job_ownership::known_run::KnownRun;
use crate::job_ownership::known_standing::KnownStanding;

impl JobModel {
    /// A daemon claims the head row and reads the record.
    pub(super) fn claim(state: &mut JobState, daemon: u8) {
        state.claims -= 1;
        state.store.epoch += 1;
        let claimed = state.clock_of(daemon);
        let assignment = state.store.assignment;
        let run = match assignment.phase {
            AssignedPhase::Assigned(worker) => Some(KnownRun {
                worker,
                run: assignment.run,
                standing: KnownStanding::Inherited,
            }),
            _ => None,
        };
        let before = state.daemons[usize::from(daemon)];
        state.daemons[usize::from(daemon)] = JobDaemon {
            epoch: state.store.epoch,
            claimed,
            authority: claimed,
            assignment,
            run,
            ..before.deposed()
        };
    }

    /// The store carries a batch out or refuses it.
    pub(super) fn land_batch(self, state: &mut JobState, daemon: u8) {
        let place = usize::from(daemon);
        let is_guarded = self.mutation != Some(JobMutation::NoHeadGuard);
        let is_owner = state.daemons[place].epoch == state.store.epoch;
        let Some(write) = &mut state.daemons[place].write else {
            return;
        };
        let is_stored = is_owner || !is_guarded;
        write.is_stored = Some(is_stored);
        if !is_stored {
            return;
        }
        let assignment = write.assignment;
        state.store.assignment = assignment;
        if let AssignedPhase::Assigned(worker) = assignment.phase {
            state.assigned[usize::from(assignment.run) - 1] = Some(worker);
        }
    }
}
