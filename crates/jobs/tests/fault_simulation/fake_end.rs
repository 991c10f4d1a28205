//! An end that a worker keeps.

use sapphirestile_jobs::EndedRun;

/// An end that a worker keeps until the owner has acknowledged it.
#[derive(Clone, Debug)]
pub struct FakeEnd {
    pub run: EndedRun,
    /// Virtual time of the end, in milliseconds.
    pub at: u64,
    /// Whether the lease of the worker has lapsed since, so that the owner may have given the
    /// run up.
    pub has_lapsed: bool,
}
