//! Identities of workers' reports.

use sapphirestile_core::IncarnationNumber;

/// Identifies a report of a worker, and with it the attempts that it listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportMark {
    /// Incarnation of the worker's program that gave the report.
    pub incarnation: IncarnationNumber,
    /// The permit given with the report; unique within the incarnation.
    pub permit: u64,
}
