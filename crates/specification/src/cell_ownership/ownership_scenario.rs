//! Named bounds.

use crate::cell_ownership::ownership_bounds::OwnershipBounds;
use crate::cell_ownership::ownership_mutation::OwnershipMutation;

/// Bounds with the faults that they let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnershipScenario {
    /// The name on the command line.
    pub name: &'static str,
    /// The bounds.
    pub bounds: OwnershipBounds,
}

const fn scenario(name: &'static str, bounds: OwnershipBounds) -> OwnershipScenario {
    OwnershipScenario { name, bounds }
}

impl OwnershipScenario {
    /// Scenarios for every run of the tests.
    pub const SMALL: [Self; 8] = [
        scenario("handover", OwnershipBounds::HANDOVER),
        scenario(
            "two-claims",
            OwnershipBounds {
                claims: 2,
                attempts: 3,
                ..OwnershipBounds::NARROW
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
                ..OwnershipBounds::NARROW
            },
        ),
        scenario(
            "lost-workers",
            OwnershipBounds {
                losses: 1,
                ..OwnershipBounds::NARROW
            },
        ),
        scenario(
            "worker-restarts",
            OwnershipBounds {
                restarts: 1,
                ..OwnershipBounds::NARROW
            },
        ),
    ];

    /// Scenarios for a deeper search.
    pub const LARGE: [Self; 4] = [
        scenario(
            "three-daemons",
            OwnershipBounds {
                daemons: 3,
                claims: 2,
                ..OwnershipBounds::NARROW
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
                restarts: 1,
                attempts: 3,
                ..OwnershipBounds::NARROW
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
                ..OwnershipBounds::CALM
            },
            OwnershipMutation::OldFinishAccepted => OwnershipBounds {
                losses: 1,
                ..OwnershipBounds::CALM
            },
            OwnershipMutation::OldPermitsGood
            | OwnershipMutation::TimeoutAsProof
            | OwnershipMutation::OldReportAsProof
            | OwnershipMutation::StartBeforeCommit => OwnershipBounds::CALM,
        }
    }
}
