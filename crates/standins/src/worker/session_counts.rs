//! The numbers of full and incremental reports.

/// The numbers of session requests that were answered with a full and with an incremental
/// report, in all incarnations of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SessionCounts {
    /// Reports of all attempts.
    pub full: u64,
    /// Reports of only the changes since an earlier report.
    pub incremental: u64,
}
