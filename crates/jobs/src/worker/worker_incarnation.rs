//! Identity of one incarnation of a worker.

use std::fmt::Display;
use std::fmt::Formatter;

use serde::Deserialize;
use serde::Serialize;

/// One incarnation of a worker, identified by its start. A worker keeps its name when it
/// restarts; its runs, its clock and the numbers of its ends begin anew.
///
/// # Examples
///
/// ```
/// use sapphirestile_jobs::WorkerIncarnation;
///
/// let incarnation = WorkerIncarnation::from_unix_ms(1_796_523_378_343);
/// assert_eq!(incarnation.unix_ms(), 1_796_523_378_343);
/// assert_ne!(incarnation, WorkerIncarnation::default());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkerIncarnation(u64);

impl WorkerIncarnation {
    /// Creates the identity from the start, in milliseconds of the Unix epoch.
    #[must_use]
    pub const fn from_unix_ms(unix_ms: u64) -> Self {
        Self(unix_ms)
    }

    /// Start of the incarnation, in milliseconds of the Unix epoch.
    #[must_use]
    pub const fn unix_ms(self) -> u64 {
        self.0
    }
}

impl Display for WorkerIncarnation {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        Display::fmt(&self.0, formatter)
    }
}
