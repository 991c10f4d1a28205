//! The response to opening or renewing a session.

use serde::Deserialize;
use serde::Serialize;

use crate::worker::AttemptName;
use crate::worker::TaskReport;
use sapphirestile_cells::ReportChanges;
use sapphirestile_cells::ReportMark;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_core::ResourceSize;

/// A new permit and the worker's attempts: all of them, or only what has changed since
/// the report named in the request.
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
    /// The permit that a start has to quote; it invalidates all earlier ones. Also serves as
    /// the number of the report.
    pub permit: u64,
    /// The incarnation of the worker's process.
    pub incarnation: IncarnationNumber,
    /// The number of the report that this one is relative to; `None` for a full report.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<u64>,
    /// The number of attempts that the worker runs, or that have ended and are not yet
    /// forgotten.
    pub count: u32,
    /// The total resources of the worker; given in a full report.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub size: Option<ResourceSize>,
    /// All attempts or, with a base, those that are new or have changed since.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tasks: Vec<TaskReport>,
    /// The attempts that the worker has forgotten since the base report.
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
