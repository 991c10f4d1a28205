//! Named bounds of the cell's model.

use crate::cell_ownership::ownership_bounds::OwnershipBounds;
use crate::cell_ownership::ownership_mutation::OwnershipMutation;

/// Bounds of the cell's model with a name, after the faults that they allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnershipScenario {
    /// Name on the command line.
    pub name: &'static str,
    /// Bounds of the search.
    pub bounds: OwnershipBounds,
}

const fn scenario(name: &'static str, bounds: OwnershipBounds) -> OwnershipScenario {
    OwnershipScenario { name, bounds }
}

impl OwnershipScenario {
    /// Scenarios that every run of the tests covers.
    pub const SMALL: [Self; 8] = [
        scenario("handover", OwnershipBounds::HANDOVER),
        scenario(
            "two-claims",
            OwnershipBounds {
                claims: 2,
                attempts: 3,
                ..OwnershipBounds::ONE_MESSAGE
            },
        ),
        scenario(
            "lost-answers",
            OwnershipBounds {
                lost_answers: 1,
                ..OwnershipBounds::TWO_WRITES
            },
        ),
        scenario(
            "kills",
            OwnershipBounds {
                kills: 1,
                ..OwnershipBounds::TWO_WRITES
            },
        ),
        scenario(
            "snapshots",
            OwnershipBounds {
                snapshots: 1,
                ..OwnershipBounds::TWO_WRITES
            },
        ),
        scenario(
            "lapses",
            OwnershipBounds {
                stops: 1,
                ..OwnershipBounds::ONE_MESSAGE
            },
        ),
        scenario(
            "lost-workers",
            OwnershipBounds {
                worker_losses: 1,
                ..OwnershipBounds::ONE_MESSAGE
            },
        ),
        scenario(
            "worker-restarts",
            OwnershipBounds {
                worker_restarts: 1,
                ..OwnershipBounds::ONE_MESSAGE
            },
        ),
    ];

    /// Scenarios with larger bounds, for a longer search.
    pub const LARGE: [Self; 4] = [
        scenario(
            "three-daemons",
            OwnershipBounds {
                daemons: 3,
                claims: 2,
                ..OwnershipBounds::ONE_MESSAGE
            },
        ),
        scenario(
            "late-renewals",
            OwnershipBounds {
                prompt_renewals: false,
                ..OwnershipBounds::HANDOVER
            },
        ),
        scenario(
            "kills-and-lost-answers",
            OwnershipBounds {
                kills: 1,
                lost_answers: 1,
                ..OwnershipBounds::TWO_WRITES
            },
        ),
        scenario(
            "lapses-and-restarts",
            OwnershipBounds {
                stops: 1,
                worker_restarts: 1,
                attempts: 3,
                ..OwnershipBounds::ONE_MESSAGE
            },
        ),
    ];

    /// The smallest bounds at which `mutation` breaks a property.
    #[must_use]
    pub const fn breaking(mutation: OwnershipMutation) -> OwnershipBounds {
        match mutation {
            OwnershipMutation::NoSequenceCheck => OwnershipBounds {
                messages: 2,
                ..OwnershipBounds::TWO_WRITES
            },
            OwnershipMutation::DeletedNumberFree => OwnershipBounds {
                snapshots: 1,
                ..OwnershipBounds::HANDOVER
            },
            OwnershipMutation::NoEpochCheck | OwnershipMutation::NoSessionFirst => {
                OwnershipBounds::HANDOVER
            }
            OwnershipMutation::LostAnswerNotWritten
            | OwnershipMutation::LostAnswerWritten
            | OwnershipMutation::AbsentReadAsProof => OwnershipBounds {
                lost_answers: 1,
                ..OwnershipBounds::FAULT_FREE
            },
            OwnershipMutation::OldFinishAccepted => OwnershipBounds {
                worker_losses: 1,
                ..OwnershipBounds::FAULT_FREE
            },
            OwnershipMutation::OldPermitsGood
            | OwnershipMutation::TimeoutAsProof
            | OwnershipMutation::OldReportAsProof
            | OwnershipMutation::StartBeforeCommit => OwnershipBounds::FAULT_FREE,
        }
    }
}
