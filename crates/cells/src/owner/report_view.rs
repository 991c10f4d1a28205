//! A worker's report.

use crate::owner::TaskSighting;
use sapphirestile_core::MonoTime;

/// A worker's answer to a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportView<'a> {
    /// The worker.
    pub worker: &'a str,
    /// Which session it answers.
    pub ordinal: u64,
    /// When that session was asked for.
    pub asked: MonoTime,
    /// What a start has to quote.
    pub permit: u64,
    /// Every attempt on the worker.
    pub tasks: &'a [TaskSighting],
}
