//! The cells of the model.

/// One of the two cells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TransferCell {
    /// The cell that has the job.
    Home,
    /// The cell that may be given the task.
    Host,
}

impl TransferCell {
    /// Both cells.
    pub const ALL: [Self; 2] = [Self::Home, Self::Host];

    /// Index of the cell in arrays.
    #[must_use]
    pub const fn index(self) -> usize {
        match self {
            Self::Home => 0,
            Self::Host => 1,
        }
    }
}
