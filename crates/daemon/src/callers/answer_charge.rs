//! An answer that is expected over the link.

use crate::callers::LinkShare;
use sapphirestile_core::MonoTime;

/// The bytes of an answer that were counted in before it came. Dropped, they are
/// given back: the request was not run.
#[derive(Debug)]
pub struct AnswerCharge<'l> {
    share: &'l LinkShare,
    expected: u64,
}

impl<'l> AnswerCharge<'l> {
    /// `expected` bytes that `share` has counted in.
    pub(super) const fn new(share: &'l LinkShare, expected: u64) -> Self {
        Self { share, expected }
    }

    /// Counts the bytes that came in place of those that were expected.
    pub fn settle(mut self, actual: u64, now: MonoTime) {
        self.share.settle(self.expected, actual, now);
        self.expected = 0;
    }

    /// Leaves the expected bytes counted: the answer may still come.
    pub fn keep(mut self) {
        self.expected = 0;
    }
}

impl Drop for AnswerCharge<'_> {
    fn drop(&mut self) {
        // Giving back looks at no clock.
        self.share
            .settle(self.expected, 0, MonoTime::from_millis(0));
    }
}
