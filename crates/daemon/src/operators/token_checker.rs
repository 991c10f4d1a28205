//! The check of the tokens that clients send.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::sync::Mutex;
use std::sync::PoisonError;

use tracing::warn;

use crate::context::DaemonContext;
use crate::context::RepeatLimiter;
use crate::operators::AuthLimiter;
use crate::operators::AuthVerdict;
use crate::serving::ConnectionPeer;

/// Stands for all clients whose address is not known.
const UNKNOWN_ADDRESS: IpAddr = IpAddr::V4(Ipv4Addr::UNSPECIFIED);

/// Checks the tokens that clients send, limits wrong ones, and logs them.
#[derive(Debug, Default)]
pub struct TokenChecker {
    limiter: Mutex<AuthLimiter>,
    log_limiter: RepeatLimiter,
}

impl TokenChecker {
    /// The verdict on a token that was sent on this thread's connection. `is_right` is the
    /// result of comparing it with the operators' token.
    pub fn check(&self, context: &DaemonContext, is_right: bool) -> AuthVerdict {
        let now = context.clock.now();
        let peer = ConnectionPeer::of_this_thread().map_or(UNKNOWN_ADDRESS, |peer| peer.address());
        let mut limiter = self.limiter.lock().unwrap_or_else(PoisonError::into_inner);
        let verdict = limiter.check(peer, is_right, now);
        drop(limiter);
        if verdict != AuthVerdict::Right
            && let Some(repeats) = self.log_limiter.try_acquire(now)
        {
            warn!(step = "check token", %peer, repeats, ?verdict, "refused");
        }
        verdict
    }
}
