//! Byte counters by distance.

use crate::RouteReach;
use crate::sync::AtomicU64;
use crate::sync::Ordering;

/// Counters of the bytes of requests or answers, by distance.
///
/// # Examples
///
/// ```
/// use sapphirestile_routing::ByteCounters;
/// use sapphirestile_routing::RouteReach;
///
/// let counters = ByteCounters::default();
/// counters.add(RouteReach::Remote, 1_200);
/// assert_eq!(counters.bytes(RouteReach::Remote), 1_200);
/// assert_eq!(counters.bytes(RouteReach::Zone), 0);
/// ```
#[derive(Debug, Default)]
pub struct ByteCounters {
    zone: AtomicU64,
    region: AtomicU64,
    remote: AtomicU64,
}

impl ByteCounters {
    /// Adds the `bytes` of a request or an answer.
    pub fn add(&self, reach: RouteReach, bytes: u64) {
        self.counter(reach).fetch_add(bytes, Ordering::Relaxed);
    }

    /// All bytes counted at this distance.
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
