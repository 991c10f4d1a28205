//! The row that names the owner.

use serde::Deserialize;
use serde::Serialize;

/// The row that names the owner. The owner writes it with everything that it
/// stores, under the condition that nobody else has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRow {
    /// Counts the claims.
    pub epoch: u64,
    /// The daemon that owns, for people to read.
    pub daemon: Box<str>,
    /// The process that owns.
    pub incarnation: u64,
    /// The number of the write, so that a writer finds out whether it was done.
    pub write: u64,
    /// Whether the owner has given up its ownership.
    pub is_released: bool,
}
