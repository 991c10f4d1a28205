//! A lease that has lapsed.

/// The lease has lapsed, and its entries go with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LapsedPhase;
