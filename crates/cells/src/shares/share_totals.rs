//! What was lent between two cells.

use serde::Deserialize;
use serde::Serialize;

use crate::shares::ShareCounter;
use sapphirestile_core::ResourceSize;

/// What a lender lent to one borrower, and what came back, as one of both knows it.
///
/// # Examples
///
/// ```
/// use sapphirestile_cells::ShareTotals;
/// use sapphirestile_core::ResourceSize;
///
/// assert_eq!(ShareTotals::default().held(), ResourceSize::default());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareTotals {
    /// All that was lent so far.
    pub lent: ShareCounter,
    /// All that was returned so far.
    pub returned: ShareCounter,
}

impl ShareTotals {
    /// What the borrower holds.
    ///
    /// # Panics
    ///
    /// When more was returned than lent.
    #[must_use]
    pub fn held(&self) -> ResourceSize {
        self.lent.since(&self.returned)
    }
}
