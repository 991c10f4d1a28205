//! Position in a worker's list of ends.

use crate::worker::WorkerIncarnation;

/// Position in the list of ends that one incarnation of a worker keeps. The next one numbers
/// its ends from 1 again, so a number alone says nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndPosition {
    /// Incarnation that keeps the list.
    pub incarnation: WorkerIncarnation,
    /// Sequence number of an end, from 1; 0 is before the first.
    pub number: u64,
}
