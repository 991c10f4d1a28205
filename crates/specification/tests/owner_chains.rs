//! The wait for leases of the first owner does not begin anew with each owner in a row.

use sapphirestile_specification::JobAction;
use sapphirestile_specification::JobBounds;
use sapphirestile_specification::JobModel;
use sapphirestile_specification::JobMutation;
use sapphirestile_specification::JobState;
use sapphirestile_specification::ModelStep;
use sapphirestile_specification::ProtocolModel;
use sapphirestile_specification::explore_model;
use test_case::test_case;

/// Number of the daemon that is the third owner.
const THIRD_OWNER: u8 = 2;

/// Reached when the third owner, which claimed one tick or more after the first owner's last
/// write, gives up the first owner's run.
const GIVEN_UP: &str = "the third owner gives up the run";

/// A job model that looks for the end of the third owner's wait.
struct WaitSearch {
    model: JobModel,
}

/// State of the model, with what has happened before.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct WaitState {
    state: JobState,
    ticks: u8,
    claimed_at: Option<u8>,
    has_given_up: bool,
}

impl WaitState {
    fn after(&self, step: &ModelStep<JobState, JobAction>) -> Self {
        let mut next = Self {
            state: step.state,
            ..self.clone()
        };
        match step.action {
            JobAction::Tick => next.ticks += 1,
            JobAction::Claim {
                daemon: THIRD_OWNER,
            } => next.claimed_at = Some(self.ticks),
            JobAction::AssumeLeaseExpired {
                daemon: THIRD_OWNER,
            } => next.has_given_up = true,
            _ => {}
        }
        next
    }
}

impl ProtocolModel for WaitSearch {
    type State = WaitState;
    type Action = JobAction;

    fn initial_state(&self) -> WaitState {
        WaitState {
            state: self.model.initial_state(),
            ticks: 0,
            claimed_at: None,
            has_given_up: false,
        }
    }

    fn next_steps(&self, state: &WaitState) -> Vec<ModelStep<WaitState, JobAction>> {
        let steps = self.model.next_steps(&state.state);
        let steps = steps.into_iter().map(|step| ModelStep {
            action: step.action,
            state: state.after(&step),
        });
        steps.collect()
    }

    fn broken_property(&self, state: &WaitState) -> Option<&'static str> {
        let claimed_late = state.claimed_at.is_some_and(|ticks| ticks > 0);
        (state.has_given_up && claimed_late).then_some(GIVEN_UP)
    }

    fn is_fault(&self, action: &JobAction) -> bool {
        self.model.is_fault(action)
    }

    fn must_heal(&self, _state: &WaitState) -> bool {
        false
    }

    fn is_healed(&self, _state: &WaitState) -> bool {
        true
    }
}

fn third_owner_gives_up(mutation: Option<JobMutation>, ticks: u8) -> bool {
    let bounds = JobBounds {
        ticks,
        ..JobBounds::CHAIN
    };
    let search = WaitSearch {
        model: JobModel { bounds, mutation },
    };
    explore_model(&search).verdict.broken_property() == Some(GIVEN_UP)
}

#[test_case(None, 2; "with the bounds of the first owner")]
#[test_case(Some(JobMutation::WaitAnew), 3; "with a wait from its own claim")]
fn third_owner_gives_up_first_run_at(mutation: Option<JobMutation>, ticks: u8) {
    assert!(!third_owner_gives_up(mutation, ticks - 1));
    assert!(third_owner_gives_up(mutation, ticks));
}
