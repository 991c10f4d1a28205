//! Full reports of workers.

use crate::owner::AttemptReport;
use sapphirestile_core::MonoTime;

/// A worker's full answer to a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportView<'a> {
    /// Name of the reporting worker.
    pub worker: &'a str,
    /// Ordinal of the session that is answered.
    pub ordinal: u64,
    /// When that session was requested.
    pub asked: MonoTime,
    /// The permit that the next start has to present.
    pub permit: u64,
    /// All attempts on the worker.
    pub tasks: &'a [AttemptReport],
}
