//! Counters of tokens exchanged with other members.

use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::SortedTable;

/// The total number of tokens of one runner that a member ever sent to and received
/// from each other member. The counters only grow, so that lost, duplicated or
/// reordered messages do no harm.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::DaemonIdentity;
/// use sapphirestile_core::DaemonName;
/// use sapphirestile_core::IncarnationNumber;
/// use sapphirestile_slots::HandoverCounters;
///
/// let peer = DaemonIdentity {
///     daemon: DaemonName::try_from("vm-2").unwrap(),
///     incarnation: IncarnationNumber::new(5),
/// };
/// let mut counters = HandoverCounters::default();
/// assert_eq!(counters.merge(&peer, 3), 3);
/// assert_eq!(counters.merge(&peer, 2), 0);
/// assert_eq!(counters.merge(&peer, 3), 0);
/// assert_eq!(counters.send(&peer, 1), 1);
/// assert_eq!(counters.net(), 2);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HandoverCounters {
    sent: SortedTable<DaemonIdentity, u64>,
    received: SortedTable<DaemonIdentity, u64>,
}

impl HandoverCounters {
    /// Adds `count` tokens sent to `peer` and returns the new total.
    pub fn send(&mut self, peer: &DaemonIdentity, count: u32) -> u64 {
        let total = self.sent.get_or_insert_with(peer.clone(), || 0);
        *total += u64::from(count);
        *total
    }

    /// Raises the total received from `peer` to `total` if that is larger, and returns
    /// the increase.
    pub fn merge(&mut self, peer: &DaemonIdentity, total: u64) -> u64 {
        let known = self.received.get_or_insert_with(peer.clone(), || 0);
        let added = total.saturating_sub(*known);
        *known += added;
        added
    }

    /// The total number of tokens ever sent to `peer`.
    #[must_use]
    pub fn sent_to(&self, peer: &DaemonIdentity) -> u64 {
        self.sent.get(peer).copied().unwrap_or(0)
    }

    /// The total number of tokens ever received from `peer`.
    #[must_use]
    pub fn received_from(&self, peer: &DaemonIdentity) -> u64 {
        self.received.get(peer).copied().unwrap_or(0)
    }

    /// The total of all tokens received minus all sent.
    #[must_use]
    pub fn net(&self) -> i64 {
        let received = self.received.values().map(|total| signed(*total));
        let sent = self.sent.values().map(|total| signed(*total));
        received.sum::<i64>() - sent.sum::<i64>()
    }

    /// Removes the counters of `peer` and returns the tokens received from it minus
    /// those sent to it.
    pub fn remove_peer(&mut self, peer: &DaemonIdentity) -> i64 {
        let received = self.received.remove(peer).unwrap_or(0);
        let sent = self.sent.remove(peer).unwrap_or(0);
        signed(received) - signed(sent)
    }
}

/// Converts a counter to a signed number.
///
/// # Panics
///
/// If it exceeds `i64::MAX`.
pub fn signed(total: u64) -> i64 {
    i64::try_from(total).expect("token counter exceeds i64::MAX")
}
