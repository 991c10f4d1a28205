//! Where the task is, as one cell knows.

/// Where the task is, as the record or the owner of one cell says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TaskView {
    /// Here, without a run.
    Waiting,
    /// Here, with a run.
    Assigned,
    /// In the other cell.
    #[default]
    Elsewhere,
    /// Nowhere: its job has ended.
    Ended,
}

impl TaskView {
    /// Whether the cell has the task.
    #[must_use]
    pub const fn is_here(self) -> bool {
        matches!(self, Self::Waiting | Self::Assigned)
    }
}
