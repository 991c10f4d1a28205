//! A limit on the wrong tokens of each client.

use std::net::IpAddr;
use std::net::Ipv6Addr;

use crate::operators::AuthVerdict;
use crate::operators::auth_failures::AuthFailures;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;

const FAILURES_MAX: u32 = 10;
const WINDOW_MS: u64 = 10_000;
const PAUSE_MS: u64 = 2_000;
const NETWORKS_MAX: usize = 1_024;
const IPV6_HOST_BITS: u32 = 64;

/// Limits how many wrong tokens a client may send: after ten within ten seconds, it is
/// paused for two seconds, and its tokens are refused without being checked. Requests
/// during the pause do not extend it.
///
/// A client is an IPv4 address or an IPv6 network of 64 bits. At most 1,024 are
/// remembered; then the one whose failures started first is forgotten.
///
/// # Examples
///
/// ```
/// use std::net::IpAddr;
///
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_daemon::operators::AuthLimiter;
/// use sapphirestile_daemon::operators::AuthVerdict;
///
/// let peer = IpAddr::from([127, 0, 0, 1]);
/// let start = MonoTime::from_millis(0);
/// let mut limiter = AuthLimiter::default();
/// for _ in 0..10 {
///     assert_eq!(limiter.check(peer, false, start), AuthVerdict::Wrong);
/// }
/// let paused = AuthVerdict::Paused { wait_ms: 2_000 };
/// assert_eq!(limiter.check(peer, true, start), paused);
/// assert_eq!(limiter.check(peer, true, start.plus_millis(2_000)), AuthVerdict::Right);
/// ```
#[derive(Debug, Default)]
pub struct AuthLimiter {
    rows: SortedTable<IpAddr, AuthFailures>,
}

impl AuthLimiter {
    /// The verdict on a token that `peer` sent. `is_right` is the result of comparing it with
    /// the operators' token, and has no effect while the client is paused.
    #[must_use]
    pub fn check(&mut self, peer: IpAddr, is_right: bool, now: MonoTime) -> AuthVerdict {
        let network = network_of(peer);
        if let Some(wait_ms) = self.remaining_pause_ms(network, now) {
            return AuthVerdict::Paused { wait_ms };
        }
        if is_right {
            return AuthVerdict::Right;
        }
        self.record_failure(network, now);
        AuthVerdict::Wrong
    }

    /// The number of clients with failures that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// `true` if no failures are remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn remaining_pause_ms(&self, network: IpAddr, now: MonoTime) -> Option<u64> {
        let row = self.rows.get(&network)?;
        let wait_ms = row.paused_until.millis_since(now);
        (wait_ms > 0).then_some(wait_ms)
    }

    fn record_failure(&mut self, network: IpAddr, now: MonoTime) {
        if !self.rows.contains(&network) {
            self.evict_if_full(now);
        }
        let row = self
            .rows
            .get_or_insert_with(network, || AuthFailures::start(now));
        if now.millis_since(row.started) >= WINDOW_MS {
            *row = AuthFailures::start(now);
        }
        row.failures += 1;
        if row.failures >= FAILURES_MAX {
            *row = AuthFailures::start(now);
            row.paused_until = now.plus_millis(PAUSE_MS);
        }
    }

    /// Makes room for one more client: forgets those whose window has ended, then, if that
    /// does not suffice, the one whose failures started first.
    fn evict_if_full(&mut self, now: MonoTime) {
        if self.rows.len() < NETWORKS_MAX {
            return;
        }
        self.rows
            .retain(|_, row| now.millis_since(row.started) < WINDOW_MS);
        if self.rows.len() < NETWORKS_MAX {
            return;
        }
        let oldest = self.rows.iter().min_by_key(|(_, row)| row.started);
        if let Some(network) = oldest.map(|(network, _)| *network) {
            self.rows.remove(&network);
        }
    }
}

/// The key of a client. An IPv6 client can use every address of its 64-bit network, so the
/// whole network counts as one client.
fn network_of(peer: IpAddr) -> IpAddr {
    match peer {
        IpAddr::V4(_) => peer,
        IpAddr::V6(address) => {
            let bits = address.to_bits() >> IPV6_HOST_BITS << IPV6_HOST_BITS;
            IpAddr::V6(Ipv6Addr::from_bits(bits))
        }
    }
}
