//! How far the journal says that a task has come.

/// The phase of a task in the journal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RecordPhase {
    /// Never submitted.
    #[default]
    Absent,
    /// Submitted and on no worker.
    Waiting,
    /// Assigned to a worker, whether it runs there or not.
    Placed,
    /// Done for good.
    Finished,
}
