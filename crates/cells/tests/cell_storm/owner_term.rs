//! Terms of daemons.

/// One term of a daemon; answers to an earlier term are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerTerm {
    pub daemon: usize,
    pub term: u64,
}
