//! Whether a task has run before.

/// Whether a task has run before, and if not, how long its job has waited. It decides how far
/// the task is kept from room that is left to long-running tasks which have to run again.
///
/// # Examples
///
/// ```
/// use sapphirestile_jobs::RunHistory;
///
/// assert!(RunHistory::New.yields_to_restarts());
/// assert!(!RunHistory::Overdue.yields_to_restarts());
/// assert!(!RunHistory::Started.yields_to_restarts());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunHistory {
    /// The task has not run, and its job was accepted not long ago.
    New,
    /// The task has not run, though its job was accepted long ago.
    Overdue,
    /// The task has had a run.
    Started,
}

impl RunHistory {
    /// Whether a long-running task leaves room to those that have to run again.
    #[must_use]
    pub const fn yields_to_restarts(self) -> bool {
        matches!(self, Self::New)
    }
}
