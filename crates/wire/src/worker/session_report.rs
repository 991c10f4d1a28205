//! What a worker answers to a session.

use serde::Deserialize;
use serde::Serialize;

use crate::worker::AttemptName;
use crate::worker::TaskReport;
use sapphirestile_cells::ReportChanges;
use sapphirestile_cells::ReportMark;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_core::ResourceSize;

/// A fresh permit and the worker's tasks: all of them, or what has changed since
/// the report that the request names.
///
/// # Examples
///
/// ```
/// use sapphirestile_wire::worker::SessionReport;
///
/// let unchanged = r#"{"permit":9,"incarnation":4,"base":8,"count":22}"#;
/// let report: SessionReport = serde_json::from_str(unchanged).unwrap();
/// assert!(report.tasks.is_empty());
/// assert_eq!(serde_json::to_string(&report).unwrap(), unchanged);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionReport {
    /// What a start has to quote; voids every permit before it, and numbers the
    /// report.
    pub permit: u64,
    /// The life of the worker's program.
    pub incarnation: IncarnationNumber,
    /// The report that the rows are changes to; none when they are all rows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<u64>,
    /// How many attempts the worker runs or has ended and not yet forgotten.
    pub count: u32,
    /// The worker's whole size, in a report of all rows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub size: Option<ResourceSize>,
    /// Every attempt, or those that are new or have changed since the base.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tasks: Vec<TaskReport>,
    /// The attempts that the worker has forgotten since the base.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub gone: Vec<AttemptName>,
}

impl From<SessionReport> for ReportChanges {
    fn from(report: SessionReport) -> Self {
        let mark = ReportMark {
            incarnation: report.incarnation,
            permit: report.permit,
        };
        Self {
            mark,
            base: report.base,
            count: report.count,
            changed: report.tasks.into_iter().map(Into::into).collect(),
            gone: report.gone.into_iter().map(Into::into).collect(),
        }
    }
}
