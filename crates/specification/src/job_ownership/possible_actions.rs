//! All that may happen in a state.

use crate::job_ownership::assigned_phase::AssignedPhase;
use crate::job_ownership::job_action::JobAction;
use crate::job_ownership::job_bounds::DAEMONS;
use crate::job_ownership::job_bounds::WORKERS;
use crate::job_ownership::job_model::JobModel;
use crate::job_ownership::job_mutation::JobMutation;
use crate::job_ownership::job_state::JobState;
use crate::job_ownership::known_standing::KnownStanding;

impl JobModel {
    /// All that may happen in `state`.
    pub(super) fn possible_actions(self, state: &JobState) -> Vec<JobAction> {
        let mut actions = Vec::new();
        self.common_actions(state, &mut actions);
        for daemon in (0..).take(DAEMONS) {
            self.daemon_actions(state, daemon, &mut actions);
        }
        actions
    }

    fn common_actions(self, state: &JobState, actions: &mut Vec<JobAction>) {
        if state.now < self.bounds.ticks {
            actions.push(JobAction::Tick);
        }
        for (worker, here) in (0..).zip(&state.workers) {
            if here.running.is_some() && !self.bounds.is_cut {
                actions.push(JobAction::Finish { worker });
            }
        }
        let late = (0..).take(state.late.len());
        actions.extend(late.map(|place| JobAction::DeliverLate { place }));
    }

    fn daemon_actions(self, state: &JobState, daemon: u8, actions: &mut Vec<JobAction>) {
        let owner = &state.daemons[usize::from(daemon)];
        if self.mutation == Some(JobMutation::ClockStandsStill) && state.now < self.bounds.ticks {
            actions.push(JobAction::Suspend { daemon });
        }
        if state.claims > 0 && owner.epoch == 0 {
            actions.push(JobAction::Claim { daemon });
        }
        if owner.epoch == 0 {
            return;
        }
        actions.extend(Self::batch_action(state, daemon));
        let is_unstopped = owner
            .run
            .is_some_and(|run| run.standing == KnownStanding::Unstopped);
        if is_unstopped && owner.stop.is_none() {
            actions.push(JobAction::SendStop { daemon });
        }
        Self::call_actions(state, daemon, actions);
        if self.may_take_for_lapsed(state, daemon) {
            actions.push(JobAction::TakeForLapsed { daemon });
        }
        let reached = |worker: &u8| !self.bounds.is_cut || *worker == daemon;
        for worker in (0..).take(WORKERS).filter(reached) {
            self.worker_actions(state, daemon, worker, actions);
        }
    }

    fn call_actions(state: &JobState, daemon: u8, actions: &mut Vec<JobAction>) {
        let owner = &state.daemons[usize::from(daemon)];
        let may_lose = state.losses > 0;
        if let Some(call) = owner.start {
            actions.push(match call.answer {
                None => JobAction::DeliverStart { daemon },
                Some(_) => JobAction::HearStart { daemon },
            });
            if may_lose {
                actions.push(JobAction::GiveUpStart { daemon });
            }
        }
        if let Some(call) = owner.stop {
            actions.push(match call.answer {
                None => JobAction::DeliverStop { daemon },
                Some(_) => JobAction::HearStop { daemon },
            });
            if may_lose {
                actions.push(JobAction::GiveUpStop { daemon });
            }
        }
        if let Some(call) = owner.look {
            actions.push(match call.shown {
                None => JobAction::DeliverLook { daemon },
                Some(_) => JobAction::HearLook { daemon },
            });
            if may_lose {
                actions.push(JobAction::GiveUpLook { daemon });
            }
        }
    }

    fn batch_action(state: &JobState, daemon: u8) -> Option<JobAction> {
        let owner = &state.daemons[usize::from(daemon)];
        let is_due = owner.has_changed || owner.authority < state.clock_of(daemon);
        match owner.write {
            None => is_due.then_some(JobAction::SendBatch { daemon }),
            Some(write) if write.is_stored.is_none() => Some(JobAction::LandBatch { daemon }),
            Some(_) => Some(JobAction::HearBatch { daemon }),
        }
    }

    fn worker_actions(
        self,
        state: &JobState,
        daemon: u8,
        worker: u8,
        actions: &mut Vec<JobAction>,
    ) {
        let owner = &state.daemons[usize::from(daemon)];
        let known = &owner.workers[usize::from(worker)];
        let is_waiting = owner.assignment.phase == AssignedPhase::Waiting;
        let has_runs = owner.assignment.run < self.bounds.runs;
        let is_usable = known.is_heard && !known.is_silent;
        // Before the first run the workers are alike, so it goes to the first.
        let is_other = worker == 0 || owner.assignment.run > 0;
        if is_waiting && has_runs && is_usable && is_other && owner.run.is_none() {
            actions.push(JobAction::Plan { daemon, worker });
        }
        let has_run = owner
            .run
            .is_some_and(|run| run.worker == worker && run.standing != KnownStanding::Planned);
        let has_news = self.noted_ends(*known) > known.ends_told;
        let is_due = !known.is_heard || known.is_silent || has_run || has_news;
        if owner.look.is_none() && is_due {
            actions.push(JobAction::SendLook { daemon, worker });
        }
    }
}
