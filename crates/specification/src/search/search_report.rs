//! Result of a search.

use crate::search::SearchVerdict;

/// Result of a search: its size and its verdict.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SearchReport {
    /// Number of distinct states that were visited.
    pub states: usize,
    /// Number of steps from the initial state to the farthest visited state.
    pub depth: u32,
    /// Whether the properties hold, or the trace to a state that breaks one.
    pub verdict: SearchVerdict,
}
