//! Handling of one task of a draining zone.

/// How to handle one task of a draining zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainStep {
    /// Checkpoint the task, send the checkpoint to another zone and place it there.
    Move {
        /// The index of the task in the slice passed to `drain_order`.
        index: usize,
    },
    /// Let the task finish, as it is expected to end in time; if it does not, it is
    /// moved last.
    LetFinish {
        /// The index of the task in the slice passed to `drain_order`.
        index: usize,
    },
    /// Stop the task and place it elsewhere, as it has too little unsaved work to be
    /// worth a checkpoint.
    Restart {
        /// The index of the task in the slice passed to `drain_order`.
        index: usize,
    },
}
