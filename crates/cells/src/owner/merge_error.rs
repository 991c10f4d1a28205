//! Reasons why changes of a report cannot be merged.

/// Why changes do not produce a full report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeError {
    /// Their base is not the report that is held.
    OtherBase,
    /// The merged number of attempts differs from the number that the worker gave.
    OtherCount,
}

impl std::fmt::Display for MergeError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::OtherBase => "the changes are based on a report that is not held",
            Self::OtherCount => {
                "the merged report has another number of attempts than the worker gave"
            }
        })
    }
}

impl std::error::Error for MergeError {}
