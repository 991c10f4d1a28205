//! A want that a lender could not meet.

use sapphirestile_core::MonoTime;

/// Since when a borrower has waited for a share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnmetWant {
    /// Since when.
    pub since: MonoTime,
    /// When the want lapses unless it is asked for again.
    pub until: MonoTime,
}
