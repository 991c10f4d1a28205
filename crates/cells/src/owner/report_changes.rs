//! Changes of a worker's report.

use crate::owner::AttemptReport;
use crate::owner::GoneAttempt;
use crate::owner::ReportMark;

/// Changes on a worker since a known report, or its full report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportChanges {
    /// The report that the changes lead to.
    pub mark: ReportMark,
    /// Permit of the base report, of the same incarnation; `None` when the changes are the
    /// full report.
    pub base: Option<u64>,
    /// Number of attempts on the worker after the changes.
    pub count: u32,
    /// Attempts that are new or have changed.
    pub changed: Vec<AttemptReport>,
    /// Attempts that are no longer on the worker.
    pub gone: Vec<GoneAttempt>,
}
