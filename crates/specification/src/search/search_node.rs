//! A state with its distance from the initial state.

use std::hash::Hash;
use std::hash::Hasher;

/// A state and the number of steps to it. Equality and hash ignore the depth, so that
/// the search visits each state once.
#[derive(Clone, Debug)]
pub(crate) struct SearchNode<S> {
    pub(crate) state: S,
    pub(crate) depth: u32,
}

impl<S: PartialEq> PartialEq for SearchNode<S> {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl<S: Eq> Eq for SearchNode<S> {}

impl<S: Hash> Hash for SearchNode<S> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.state.hash(hasher);
    }
}
