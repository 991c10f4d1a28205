//! Link bandwidth reserved for an expected answer.

use crate::callers::LinkShare;
use sapphirestile_core::MonoTime;

/// The expected bytes of an answer, counted in the link's backlog before it arrives.
///
/// Dropping the reservation takes the bytes out of the backlog again, which is right for
/// a request that was not run.
#[derive(Debug)]
pub struct AnswerReservation<'l> {
    share: &'l LinkShare,
    expected: u64,
}

impl<'l> AnswerReservation<'l> {
    /// Creates a reservation of `expected` bytes, which `share` has already counted.
    pub(super) const fn new(share: &'l LinkShare, expected: u64) -> Self {
        Self { share, expected }
    }

    /// Replaces the expected bytes with the `actual` bytes of the answer.
    pub fn settle(mut self, actual: u64, now: MonoTime) {
        self.share.settle(self.expected, actual, now);
        self.expected = 0;
    }

    /// Leaves the expected bytes in the backlog, because the answer may still arrive.
    pub fn keep(mut self) {
        self.expected = 0;
    }
}

impl Drop for AnswerReservation<'_> {
    fn drop(&mut self) {
        // The time does not matter when bytes are only taken out of the backlog.
        self.share
            .settle(self.expected, 0, MonoTime::from_millis(0));
    }
}
