//! A worker that takes work.

/// The worker takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrustedPhase;
