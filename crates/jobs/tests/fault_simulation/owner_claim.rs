//! A claim of the jobs by a daemon.

use std::fmt::Display;
use std::fmt::Formatter;

use crate::seen_row::SeenRow;

/// A stored claim, and what it was based on. Times are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct OwnerClaim {
    pub daemon: usize,
    pub epoch: u64,
    pub at: u64,
    /// The row of the earlier owner, as the daemon read it before its claim.
    pub seen: SeenRow,
}

impl Display for OwnerClaim {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let Self {
            daemon,
            epoch,
            at,
            seen,
        } = self;
        let (written, read) = (seen.row.written, seen.at);
        write!(
            formatter,
            "epoch {epoch} by daemon {daemon} at {at} ms (row written at {written}, read at {read})"
        )
    }
}
