//! Which counters are repeated next.

use crate::HandoverMessage;
use crate::TokenHolder;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::RunnerName;

const PAGE_TOTALS_MIN: usize = 8;

/// Goes round and round through the counters towards one member, page by page, so
/// that whatever was lost comes again.
///
/// Only counters of tokens that ever moved are repeated. A page is as large as it has
/// to be for a round to take a number of steps, whatever the number of counters.
///
/// # Examples
///
/// ```
/// use sapphirestile_slots::PageCursor;
///
/// let cursor = PageCursor::new(40);
/// assert_eq!(cursor.steps(), 40);
/// ```
#[derive(Clone, Debug)]
pub struct PageCursor {
    steps: usize,
    after: Option<RunnerName>,
}

impl PageCursor {
    /// A cursor that goes round in `steps` pages.
    #[must_use]
    pub const fn new(steps: usize) -> Self {
        Self { steps, after: None }
    }

    /// How many pages a round has at the most.
    #[must_use]
    pub const fn steps(&self) -> usize {
        self.steps
    }

    /// The next page of the counters of `holder` towards `peer`; empty when none has
    /// moved.
    pub fn next_page(&mut self, holder: &TokenHolder, peer: &DaemonIdentity) -> HandoverMessage {
        let moved = holder.moved_to(peer);
        let most = moved.div_ceil(self.steps).max(PAGE_TOTALS_MIN);
        let page = holder.message_to(peer, self.after.as_ref(), most);
        let last = page.totals.last().map(|total| total.runner.clone());
        // A short page is the last one of its round.
        self.after = last.filter(|_| page.totals.len() == most);
        page
    }
}
