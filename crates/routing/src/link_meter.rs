//! The bytes that requests cost, by distance.

use crate::RouteReach;
use crate::sync::AtomicU64;
use crate::sync::Ordering;

/// Bytes of requests and answers, by how far they travelled.
///
/// # Examples
///
/// ```
/// use sapphirestile_routing::LinkMeter;
/// use sapphirestile_routing::RouteReach;
///
/// let meter = LinkMeter::default();
/// meter.count(RouteReach::Remote, 1_200);
/// assert_eq!(meter.bytes(RouteReach::Remote), 1_200);
/// assert_eq!(meter.bytes(RouteReach::Zone), 0);
/// ```
#[derive(Debug, Default)]
pub struct LinkMeter {
    zone: AtomicU64,
    region: AtomicU64,
    remote: AtomicU64,
}

impl LinkMeter {
    /// Counts `bytes` of a request or an answer.
    pub fn count(&self, reach: RouteReach, bytes: u64) {
        self.counter(reach).fetch_add(bytes, Ordering::Relaxed);
    }

    /// All bytes that travelled this far.
    #[must_use]
    pub fn bytes(&self, reach: RouteReach) -> u64 {
        self.counter(reach).load(Ordering::Relaxed)
    }

    const fn counter(&self, reach: RouteReach) -> &AtomicU64 {
        match reach {
            RouteReach::Zone => &self.zone,
            RouteReach::Region => &self.region,
            RouteReach::Remote => &self.remote,
        }
    }
}
