//! How a job leaves the cell.

/// How a job is leaving the cell. Until the batch that removes its rows is stored, a listing
/// still shows them, so the owner keeps the job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobDeparture {
    /// It moves to another cell, unless it is cancelled meanwhile. None of its tasks may start
    /// here.
    Move,
    /// It has ended, and its rows are being deleted. Nothing of it is stored any more.
    Removal,
}
