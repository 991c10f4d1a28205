//! A row as it was last reported.

use sapphirestile_wire::worker::TaskReport;

/// A row as it was last reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ReportedRow {
    pub(super) report: TaskReport,
    /// The number of the report that it came or changed with.
    pub(super) changed: u64,
}
