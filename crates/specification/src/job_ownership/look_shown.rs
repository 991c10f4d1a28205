//! What a worker shows.

use crate::job_ownership::run_ends::RunEnds;

/// What a worker shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LookShown {
    /// The run that it has.
    pub running: Option<u8>,
    /// Its ends.
    pub ends: RunEnds,
    /// Its clock.
    pub clock: u8,
    /// Whether it has seen a later epoch, and shows nothing.
    pub is_fenced: bool,
}
