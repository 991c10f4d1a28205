//! Answers to sessions, before they are merged.

use crate::owner::ReportChanges;
use sapphirestile_core::MonoTime;

/// A worker's answer to a session, with the changes since a known report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerView<'a> {
    /// Name of the answering worker.
    pub worker: &'a str,
    /// Ordinal of the session that is answered.
    pub ordinal: u64,
    /// When that session was requested.
    pub asked: MonoTime,
    /// The changes that the worker reports.
    pub changes: &'a ReportChanges,
}
