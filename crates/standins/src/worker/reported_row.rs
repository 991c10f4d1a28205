//! The last reported state of an attempt.

use sapphirestile_wire::worker::TaskReport;

/// The last reported state of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ReportedRow {
    pub(super) report: TaskReport,
    /// The number of the report in which the attempt first appeared or last changed.
    pub(super) changed: u64,
}
