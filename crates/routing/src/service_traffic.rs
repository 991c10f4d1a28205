//! What the requests of one service move.

use crate::AnswerEstimate;
use crate::LinkMeter;
use crate::sync::AtomicU32;
use crate::sync::Ordering;

/// The bytes of one service's requests and answers, and how many of its requests
/// wait for a slot.
///
/// # Examples
///
/// ```
/// use sapphirestile_routing::RouteReach;
/// use sapphirestile_routing::ServiceTraffic;
///
/// let traffic = ServiceTraffic::default();
/// traffic.sent.count(RouteReach::Remote, 300);
/// traffic.received.count(RouteReach::Remote, 9_000);
/// assert_eq!(traffic.received.bytes(RouteReach::Remote), 9_000);
/// ```
#[derive(Debug, Default)]
pub struct ServiceTraffic {
    /// Bytes of requests, by how far they travelled.
    pub sent: LinkMeter,
    /// Bytes of answers, by how far they travelled.
    pub received: LinkMeter,
    /// How large the answers were lately.
    pub answers: AnswerEstimate,
    waiting: AtomicU32,
}

impl ServiceTraffic {
    /// Counts a request in that begins to wait for a slot.
    pub fn begin_waiting(&self) {
        self.waiting.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request out that waits no longer.
    pub fn end_waiting(&self) {
        self.waiting.fetch_sub(1, Ordering::Relaxed);
    }

    /// How many requests wait for a slot.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::Relaxed)
    }
}
