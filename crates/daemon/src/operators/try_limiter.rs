//! Slows down peers that try wrong tokens.

use std::net::IpAddr;
use std::net::Ipv6Addr;

use crate::operators::TryVerdict;
use crate::operators::try_row::TryRow;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;

const FAILURES_MAX: u32 = 10;
const WINDOW_MS: u64 = 10_000;
const PAUSE_MS: u64 = 2_000;
const PEERS_MAX: usize = 1_024;
const IPV6_HOST_BITS: u32 = 64;

/// Slows down peers that try wrong tokens: after ten within ten seconds a peer is
/// refused unheard for two seconds. Tries during the pause do not lengthen it.
///
/// A peer is an IPv4 address or an IPv6 network of 64 bits. At most 1,024 are
/// remembered; the one that began first makes room.
///
/// # Examples
///
/// ```
/// use std::net::IpAddr;
///
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_daemon::operators::TryLimiter;
/// use sapphirestile_daemon::operators::TryVerdict;
///
/// let peer = IpAddr::from([127, 0, 0, 1]);
/// let start = MonoTime::from_millis(0);
/// let mut limiter = TryLimiter::default();
/// for _ in 0..10 {
///     assert_eq!(limiter.judge(peer, false, start), TryVerdict::Wrong);
/// }
/// let paused = TryVerdict::Paused { wait_ms: 2_000 };
/// assert_eq!(limiter.judge(peer, true, start), paused);
/// assert_eq!(limiter.judge(peer, true, start.plus_millis(2_000)), TryVerdict::Right);
/// ```
#[derive(Debug, Default)]
pub struct TryLimiter {
    rows: SortedTable<IpAddr, TryRow>,
}

impl TryLimiter {
    /// What a try of `peer` comes to, whose token is right or wrong.
    #[must_use]
    pub fn judge(&mut self, peer: IpAddr, is_right: bool, now: MonoTime) -> TryVerdict {
        let network = network_of(peer);
        if let Some(wait_ms) = self.pause_left(network, now) {
            return TryVerdict::Paused { wait_ms };
        }
        if is_right {
            return TryVerdict::Right;
        }
        self.count_failure(network, now);
        TryVerdict::Wrong
    }

    /// How many peers are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no peer is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn pause_left(&self, network: IpAddr, now: MonoTime) -> Option<u64> {
        let row = self.rows.get(&network)?;
        let wait_ms = row.paused_until.millis_since(now);
        (wait_ms > 0).then_some(wait_ms)
    }

    fn count_failure(&mut self, network: IpAddr, now: MonoTime) {
        if !self.rows.contains(&network) {
            self.make_room(now);
        }
        let row = self.rows.get_or_insert_with(network, || TryRow::begin(now));
        if now.millis_since(row.began) >= WINDOW_MS {
            *row = TryRow::begin(now);
        }
        row.failures += 1;
        if row.failures >= FAILURES_MAX {
            *row = TryRow::begin(now);
            row.paused_until = now.plus_millis(PAUSE_MS);
        }
    }

    fn make_room(&mut self, now: MonoTime) {
        if self.rows.len() < PEERS_MAX {
            return;
        }
        self.rows
            .retain(|_, row| now.millis_since(row.began) < WINDOW_MS);
        if self.rows.len() < PEERS_MAX {
            return;
        }
        let oldest = self.rows.iter().min_by_key(|(_, row)| row.began);
        if let Some(network) = oldest.map(|(network, _)| *network) {
            self.rows.remove(&network);
        }
    }
}

/// A holder of an IPv6 network has all of its addresses.
fn network_of(peer: IpAddr) -> IpAddr {
    match peer {
        IpAddr::V4(_) => peer,
        IpAddr::V6(address) => {
            let bits = address.to_bits() >> IPV6_HOST_BITS << IPV6_HOST_BITS;
            IpAddr::V6(Ipv6Addr::from_bits(bits))
        }
    }
}
