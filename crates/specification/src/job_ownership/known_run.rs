//! The run that an owner reckons with.

use crate::job_ownership::known_standing::KnownStanding;

/// The run that an owner reckons with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KnownRun {
    /// Its worker.
    pub worker: u8,
    /// Its number.
    pub run: u8,
    /// What is known of it.
    pub standing: KnownStanding,
}
