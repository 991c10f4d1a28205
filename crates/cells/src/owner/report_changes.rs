//! What has changed on a worker since a report.

use crate::owner::GoneAttempt;
use crate::owner::ReportMark;
use crate::owner::TaskSighting;

/// What has changed on a worker since a report, or all that it shows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportChanges {
    /// The report that the changes lead to.
    pub mark: ReportMark,
    /// The permit of the report of the same life that they start from; none when
    /// the changes are all that the worker shows.
    pub base: Option<u64>,
    /// How many attempts the worker shows in all.
    pub count: u32,
    /// The attempts that are new or have changed.
    pub changed: Vec<TaskSighting>,
    /// The attempts that are gone.
    pub gone: Vec<GoneAttempt>,
}
