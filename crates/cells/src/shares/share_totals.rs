//! Totals lent and returned between two cells.

use serde::Deserialize;
use serde::Serialize;

use crate::shares::ShareCounter;
use sapphirestile_core::ResourceSize;

/// Totals lent to and returned by one borrower, as known to one of the two cells.
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
    /// Total lent so far.
    pub lent: ShareCounter,
    /// Total returned so far.
    pub returned: ShareCounter,
}

impl ShareTotals {
    /// The share that the borrower holds: lent minus returned.
    ///
    /// # Panics
    ///
    /// When more was returned than lent.
    #[must_use]
    pub fn held(&self) -> ResourceSize {
        self.lent.since(&self.returned)
    }
}
