//! This daemon's share of the link between regions.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::callers::AnswerReservation;
use crate::context::RcuValue;
use sapphirestile_core::MonoTime;
use sapphirestile_routing::LinkBudget;
use sapphirestile_routing::RequestPriority;

const SHARE_DEFAULT_BITS_PER_SECOND: u64 = 5_000_000;

/// This daemon's share of the link, which depends on the document and on the number of
/// daemons.
///
/// The link has the same bandwidth in each direction, so requests and answers have a
/// budget each.
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
/// // 10,000 bytes take 16 ms at 5 Mbit/s, and the backlog for bulk requests is limited to
/// // 10 ms.
/// assert!(share.admit(10_000, 0, RequestPriority::Bulk, now).is_none());
/// share.set_bandwidth(30_000_000);
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
    /// Sets the bandwidth in bits per second. If it changes, the backlogs are reset.
    pub fn set_bandwidth(&self, bits_per_second: u64) {
        let before = self.bits_per_second.swap(bits_per_second, Ordering::AcqRel);
        if before != bits_per_second {
            self.requests.update(|_| LinkBudget::new(bits_per_second));
            self.answers.update(|_| LinkBudget::new(bits_per_second));
        }
    }

    /// Adds a request and its expected answer to the backlogs. Returns `None` and adds
    /// nothing if either backlog would exceed the limit of this priority.
    #[must_use]
    pub fn admit(
        &self,
        request_bytes: u64,
        answer_bytes: u64,
        priority: RequestPriority,
        now: MonoTime,
    ) -> Option<AnswerReservation<'_>> {
        let answers = self.answers.load();
        if !answers.admit_answer(answer_bytes, priority, now) {
            return None;
        }
        let reservation = AnswerReservation::new(self, answer_bytes);
        let requests = self.requests.load();
        // If the request is not admitted, dropping the reservation takes the answer's bytes
        // out again.
        requests
            .admit(request_bytes, priority, now)
            .then_some(reservation)
    }

    /// Replaces the expected bytes of an answer with its actual bytes.
    pub(super) fn settle(&self, expected: u64, actual: u64, now: MonoTime) {
        self.answers.load().settle(expected, actual, now);
    }
}
