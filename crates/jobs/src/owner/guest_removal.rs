//! Removal of a guest job.

use crate::spec::JobIdentity;
use crate::spec::TaskIdentity;

/// Removal of the rows of an ended job whose home is another cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GuestRemoval {
    /// Job that has ended.
    pub job: JobIdentity,
    /// Tasks that this cell had at the end, with the number of the transfer of each.
    pub received: Vec<(TaskIdentity, u32)>,
}
