//! What a search found.

use crate::search::SearchVerdict;

/// The size of a search and its verdict.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SearchReport {
    /// Distinct states visited.
    pub states: usize,
    /// Steps from the first state to the farthest one visited.
    pub depth: u32,
    /// Whether the properties hold.
    pub verdict: SearchVerdict,
}
