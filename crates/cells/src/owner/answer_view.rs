//! A worker's answer to a session.

use crate::owner::ReportChanges;
use sapphirestile_core::MonoTime;

/// A worker's answer to a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerView<'a> {
    /// The worker.
    pub worker: &'a str,
    /// Which session it answers.
    pub ordinal: u64,
    /// When that session was asked for.
    pub asked: MonoTime,
    /// What it says.
    pub changes: &'a ReportChanges,
}
