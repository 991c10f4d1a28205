//! Why changes were not merged.

/// Why changes do not lead to a whole report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeFault {
    /// They start from another report than the one that is held.
    OtherBase,
    /// They lead to another number of attempts than the worker shows.
    OtherCount,
}

impl std::fmt::Display for MergeFault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::OtherBase => "the changes start from another report",
            Self::OtherCount => "the changes lead to another number of attempts",
        })
    }
}

impl std::error::Error for MergeFault {}
