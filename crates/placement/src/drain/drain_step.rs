//! What to do with one task of a leaving zone.

/// What to do with one task of a leaving zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainStep {
    /// Checkpoint the task, send the checkpoint out and place it elsewhere.
    Move {
        /// The place of the task in the slice.
        place: usize,
    },
    /// It is expected to end in time: let it run, and move it last if it does not.
    LetFinish {
        /// The place of the task in the slice.
        place: usize,
    },
    /// It has nothing to save: stop it and place it elsewhere at once.
    Restart {
        /// The place of the task in the slice.
        place: usize,
    },
}
