//! What is known of a daemon.

use std::net::SocketAddr;

use sapphirestile_core::IncarnationNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_wire::peer::MemberState;
use sapphirestile_wire::peer::PeerHeartbeat;

/// One daemon, by its registration and its latest heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRow {
    /// Its latest incarnation.
    pub incarnation: IncarnationNumber,
    /// Where it takes calls and heartbeats of peers.
    pub address: SocketAddr,
    /// Its latest heartbeat, with its number and when it came.
    pub heartbeat: Option<(u64, MonoTime, PeerHeartbeat)>,
}

impl MemberRow {
    /// How long the daemon has been silent, in milliseconds.
    #[must_use]
    pub fn silent_ms(&self, now: MonoTime) -> u64 {
        match &self.heartbeat {
            Some((_, heard, _)) => now.millis_since(*heard),
            None => u64::MAX,
        }
    }

    /// Whether the store had answered it within `patience_ms` when it was last heard.
    #[must_use]
    pub fn reaches_store(&self, patience_ms: u64) -> bool {
        let heartbeat = self.heartbeat.as_ref();
        heartbeat.is_some_and(|(_, _, beat)| beat.store_silent_ms < patience_ms)
    }

    /// Whether it was heard within `suspect_ms` and takes cells.
    #[must_use]
    pub fn serves(&self, now: MonoTime, suspect_ms: u64) -> bool {
        let serving = |beat: &PeerHeartbeat| beat.state == MemberState::Serving;
        let heard = self.silent_ms(now) < suspect_ms;
        heard
            && self
                .heartbeat
                .as_ref()
                .is_some_and(|(_, _, beat)| serving(beat))
    }
}
