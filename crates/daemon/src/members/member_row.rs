//! The registration and the latest heartbeat of a daemon.

use std::net::SocketAddr;

use sapphirestile_core::IncarnationNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_wire::peer::MemberState;
use sapphirestile_wire::peer::PeerHeartbeat;

/// What is known about a daemon from its registration and its latest heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRow {
    /// The latest known incarnation.
    pub incarnation: IncarnationNumber,
    /// The address of the daemon for calls and datagrams of peers.
    pub address: SocketAddr,
    /// The number of the latest heartbeat of this incarnation, when it was received, and its
    /// content. `None` before the first heartbeat.
    pub heartbeat: Option<(u64, MonoTime, PeerHeartbeat)>,
}

impl MemberRow {
    /// The time since the latest heartbeat, in milliseconds; `u64::MAX` when there was none.
    #[must_use]
    pub fn silent_ms(&self, now: MonoTime) -> u64 {
        match &self.heartbeat {
            Some((_, received_at, _)) => now.millis_since(*received_at),
            None => u64::MAX,
        }
    }

    /// Whether the store had answered the daemon less than `max_silent_ms` before its latest
    /// heartbeat.
    #[must_use]
    pub fn reaches_store(&self, max_silent_ms: u64) -> bool {
        let heartbeat = self.heartbeat.as_ref();
        heartbeat.is_some_and(|(_, _, heartbeat)| heartbeat.store_silent_ms < max_silent_ms)
    }

    /// Whether the latest heartbeat is less than `suspect_ms` old and its state is
    /// [`MemberState::Serving`].
    #[must_use]
    pub fn is_serving(&self, now: MonoTime, suspect_ms: u64) -> bool {
        let serving = |heartbeat: &PeerHeartbeat| heartbeat.state == MemberState::Serving;
        let is_recent = self.silent_ms(now) < suspect_ms;
        is_recent
            && self
                .heartbeat
                .as_ref()
                .is_some_and(|(_, _, heartbeat)| serving(heartbeat))
    }
}
