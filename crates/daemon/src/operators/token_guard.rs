//! Checks the tokens that peers offer.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::sync::Mutex;
use std::sync::PoisonError;

use tracing::warn;

use crate::context::DaemonContext;
use crate::context::LogLimiter;
use crate::operators::TryLimiter;
use crate::operators::TryVerdict;
use crate::serving::ConnectionPeer;

/// The row of peers whose address is not known.
const UNKNOWN_PEER: IpAddr = IpAddr::V4(Ipv4Addr::UNSPECIFIED);

/// Checks the tokens that peers offer, and slows down those that offer wrong ones.
#[derive(Debug, Default)]
pub struct TokenGuard {
    limiter: Mutex<TryLimiter>,
    log_limiter: LogLimiter,
}

impl TokenGuard {
    /// What a try of the peer of this thread's connection comes to.
    pub fn judge(&self, context: &DaemonContext, is_right: bool) -> TryVerdict {
        let now = context.clock.now();
        let peer = ConnectionPeer::of_this_thread().map_or(UNKNOWN_PEER, |peer| peer.address());
        let mut limiter = self.limiter.lock().unwrap_or_else(PoisonError::into_inner);
        let verdict = limiter.judge(peer, is_right, now);
        drop(limiter);
        if verdict != TryVerdict::Right
            && let Some(repeats) = self.log_limiter.try_acquire(now)
        {
            warn!(step = "check token", %peer, repeats, ?verdict, "refused");
        }
        verdict
    }
}
