//! The end of a run.

/// The end of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunEnd {
    /// The run.
    pub run: u8,
    /// Whether it was done; else it was stopped or its lease ended.
    pub is_done: bool,
    /// Whether the worker's lease ended since.
    pub is_lapsed: bool,
    /// Whether a run began since, anywhere.
    pub is_followed: bool,
}
