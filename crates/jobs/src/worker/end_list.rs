//! Ends of runs that a worker lists.

use crate::worker::EndedRun;

/// Ends of runs that a worker lists in a response, the earliest first. A response has room
/// for a limited number, so a list at that limit says nothing about what it leaves out.
///
/// # Examples
///
/// ```
/// use sapphirestile_jobs::EndList;
///
/// assert!(EndList::with_limit(Vec::new(), 500).is_complete());
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndList {
    /// All ends that are not acknowledged.
    Complete(Vec<EndedRun>),
    /// The earliest ends; there may be more.
    Cut(Vec<EndedRun>),
}

impl EndList {
    /// Creates the list from a response that has room for `limit` ends.
    #[must_use]
    pub fn with_limit(runs: Vec<EndedRun>, limit: usize) -> Self {
        if runs.len() < limit {
            Self::Complete(runs)
        } else {
            Self::Cut(runs)
        }
    }

    /// The ends that are listed, the earliest first.
    #[must_use]
    pub fn runs(&self) -> &[EndedRun] {
        match self {
            Self::Complete(runs) | Self::Cut(runs) => runs,
        }
    }

    /// Whether a run that is not listed has not ended.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        matches!(self, Self::Complete(_))
    }
}
