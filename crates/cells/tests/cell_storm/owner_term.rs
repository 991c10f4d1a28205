//! A term of a daemon.

/// One term of one daemon: answers to an earlier term are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerTerm {
    pub daemon: usize,
    pub term: u64,
}
