//! The phase of a lease that has expired.

/// The lease has expired; the rows attached to it are to be deleted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpiredPhase;
