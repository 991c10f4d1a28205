//! This daemon's share of the link between regions.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::callers::AnswerCharge;
use crate::context::RcuValue;
use sapphirestile_core::MonoTime;
use sapphirestile_routing::LinkBudget;
use sapphirestile_routing::RequestPriority;

const SHARE_DEFAULT_BITS_PER_SECOND: u64 = 5_000_000;

/// The share of the link, which follows the document and the number of daemons.
///
/// The link carries as much each way: requests have one budget, answers another.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_daemon::callers::LinkShare;
/// use sapphirestile_routing::RequestPriority;
///
/// let share = LinkShare::default();
/// let now = MonoTime::from_millis(0);
/// // 10,000 bytes take 16 ms at 5 Mbit/s, and bulk waits for 10 ms at the most.
/// assert!(share.admit(10_000, 0, RequestPriority::Bulk, now).is_none());
/// share.set(30_000_000);
/// assert!(share.admit(10_000, 0, RequestPriority::Bulk, now).is_some());
/// ```
#[derive(Debug)]
pub struct LinkShare {
    requests: RcuValue<LinkBudget>,
    answers: RcuValue<LinkBudget>,
    bits_per_second: AtomicU64,
}

impl Default for LinkShare {
    fn default() -> Self {
        let budget = || RcuValue::new(LinkBudget::new(SHARE_DEFAULT_BITS_PER_SECOND));
        Self {
            requests: budget(),
            answers: budget(),
            bits_per_second: AtomicU64::new(SHARE_DEFAULT_BITS_PER_SECOND),
        }
    }
}

impl LinkShare {
    /// Sets the share. One that has not changed keeps its backlogs.
    pub fn set(&self, bits_per_second: u64) {
        let before = self.bits_per_second.swap(bits_per_second, Ordering::AcqRel);
        if before != bits_per_second {
            self.requests.update(|_| LinkBudget::new(bits_per_second));
            self.answers.update(|_| LinkBudget::new(bits_per_second));
        }
    }

    /// Counts a request in, and the answer that is expected to it; nothing, and
    /// nothing is counted, when either would join too long a backlog for a request
    /// of this priority.
    #[must_use]
    pub fn admit(
        &self,
        request_bytes: u64,
        answer_bytes: u64,
        priority: RequestPriority,
        now: MonoTime,
    ) -> Option<AnswerCharge<'_>> {
        let answers = self.answers.load();
        if !answers.admit_answer(answer_bytes, priority, now) {
            return None;
        }
        let charge = AnswerCharge::new(self, answer_bytes);
        let requests = self.requests.load();
        // Dropped, the charge gives the answer's bytes back.
        requests
            .admit(request_bytes, priority, now)
            .then_some(charge)
    }

    /// Replaces the expected bytes of an answer by those that came.
    pub(super) fn settle(&self, expected: u64, actual: u64, now: MonoTime) {
        self.answers.load().settle(expected, actual, now);
    }
}
