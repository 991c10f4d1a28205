//! The traffic of one service.

use crate::AnswerSize;
use crate::ByteCounters;
use crate::sync::AtomicU32;
use crate::sync::Ordering;

/// The bytes of one service's requests and answers, and the number of its requests that
/// wait for a slot.
///
/// # Examples
///
/// ```
/// use sapphirestile_routing::RouteReach;
/// use sapphirestile_routing::ServiceTraffic;
///
/// let traffic = ServiceTraffic::default();
/// traffic.sent.add(RouteReach::Remote, 300);
/// traffic.received.add(RouteReach::Remote, 9_000);
/// assert_eq!(traffic.received.bytes(RouteReach::Remote), 9_000);
/// ```
#[derive(Debug, Default)]
pub struct ServiceTraffic {
    /// The bytes of requests, by distance.
    pub sent: ByteCounters,
    /// The bytes of answers, by distance.
    pub received: ByteCounters,
    /// The recent size of answers.
    pub answer_size: AnswerSize,
    waiting: AtomicU32,
}

impl ServiceTraffic {
    /// Counts a request that starts to wait for a slot.
    pub fn begin_waiting(&self) {
        self.waiting.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request that stops waiting for a slot. Each call needs an earlier call of
    /// [`Self::begin_waiting`].
    pub fn end_waiting(&self) {
        self.waiting.fetch_sub(1, Ordering::Relaxed);
    }

    /// The number of requests that wait for a slot.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::Relaxed)
    }
}
