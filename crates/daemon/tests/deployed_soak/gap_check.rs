//! What is checked of the time without a run of a long-running task.

/// What is checked of the time from the end of a run of a long-running task to the start of
/// its next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GapCheck {
    /// That a next run starts before the end of the test.
    Order,
    /// In addition, that it starts in time.
    Bound,
}
