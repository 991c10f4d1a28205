//! The row that names the owner of the jobs.

use serde::Deserialize;
use serde::Serialize;

/// The row that names the owner of the jobs. The owner writes it in every commit,
/// guarded by its previous revision, so that a commit fails once another daemon has
/// claimed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnershipRow {
    /// The number of claims so far, which fences previous owners.
    pub epoch: u64,
    /// The name of the owning daemon; informational.
    pub daemon: Box<str>,
    /// The random number that identifies the owning process.
    pub incarnation: u64,
    /// The number of the write, by which a writer recognizes its own write after a lost
    /// answer.
    pub write: u64,
    /// Whether the owner has released the ownership.
    pub is_released: bool,
}
