//! A part of the production policy that can be disabled.

/// A part of the production policy that a run can disable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyFeature {
    /// Task sizes are estimated from usage instead of taken as declared.
    MeasuredSizes,
    /// Placement takes the interference of tasks with runners into account.
    InterferenceAwarePlacement,
    /// Tasks that slow down the runner beside them are throttled, and then stopped.
    Throttling,
    /// Workers on which tasks of different jobs fail are quarantined.
    WorkerQuarantine,
    /// Tasks of a zone out of service are moved in the order that the placement crate
    /// computes, and their checkpoints are paced over the link.
    DrainOrder,
    /// A worker is reserved for a large task that has waited long.
    WorkerReservation,
    /// Running tasks are stopped to make room for urgent ones.
    Preemption,
    /// Batch tasks and runners share machines. Without it, runners serve on machines
    /// with an even index only, and tasks run on the others.
    Colocation,
}

impl PolicyFeature {
    /// All features, in the order of the rows of the table.
    pub const ALL: [Self; 8] = [
        Self::MeasuredSizes,
        Self::InterferenceAwarePlacement,
        Self::Throttling,
        Self::WorkerQuarantine,
        Self::DrainOrder,
        Self::WorkerReservation,
        Self::Preemption,
        Self::Colocation,
    ];
}

impl std::fmt::Display for PolicyFeature {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::MeasuredSizes => "measured sizes",
            Self::InterferenceAwarePlacement => "noise in the choice",
            Self::Throttling => "throttling",
            Self::WorkerQuarantine => "setting workers aside",
            Self::DrainOrder => "drain order",
            Self::WorkerReservation => "held workers",
            Self::Preemption => "preemption",
            Self::Colocation => "colocation",
        })
    }
}
