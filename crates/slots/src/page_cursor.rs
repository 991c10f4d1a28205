//! Periodic resending of handover counters.

use crate::HandoverMessage;
use crate::TokenHolder;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::RunnerName;

/// The minimum size of a page, in counters.
const PAGE_TOTALS_MIN: usize = 8;

/// Iterates cyclically over the counters for one member, page by page, so that lost
/// messages are made up for.
///
/// Only counters of runners whose tokens were ever handed over are included. The page
/// size grows with their number, so that a round takes at most a fixed number of
/// pages.
///
/// # Examples
///
/// ```
/// use sapphirestile_slots::PageCursor;
///
/// let cursor = PageCursor::new(40);
/// assert_eq!(cursor.pages_per_round(), 40);
/// ```
#[derive(Clone, Debug)]
pub struct PageCursor {
    pages_per_round: usize,
    after: Option<RunnerName>,
}

impl PageCursor {
    /// Creates a cursor that needs at most `pages_per_round` pages for all counters.
    #[must_use]
    pub const fn new(pages_per_round: usize) -> Self {
        Self {
            pages_per_round,
            after: None,
        }
    }

    /// The maximum number of pages in a round.
    #[must_use]
    pub const fn pages_per_round(&self) -> usize {
        self.pages_per_round
    }

    /// Returns the next page of the counters of `holder` for `peer`, which is empty if
    /// no tokens were ever handed to `peer`.
    pub fn next_page(&mut self, holder: &TokenHolder, peer: &DaemonIdentity) -> HandoverMessage {
        let moved = holder.moved_runner_count(peer);
        let most = moved.div_ceil(self.pages_per_round).max(PAGE_TOTALS_MIN);
        let page = holder.message_to(peer, self.after.as_ref(), most);
        let last = page.totals.last().map(|total| total.runner.clone());
        // A page that is not full is the last one of its round.
        self.after = last.filter(|_| page.totals.len() == most);
        page
    }
}
