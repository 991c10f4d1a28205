//! Small tasks that come back several times a second.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::RecvTimeoutError;

use crate::callers::AdmissionState;
use crate::context::DaemonContext;
use crate::document;
use crate::peers::PeerClient;
use sapphirestile_wire::peer::PeerAnswer;
use sapphirestile_wire::peer::PeerRequest;

const BITS_PER_MEGABIT: u64 = 1_000_000;
const TICK: Duration = Duration::from_millis(250);

/// Gives parked slots back, catches up with later configurations of peers and
/// follows the share of the link.
pub struct HouseKeeper {
    context: Arc<DaemonContext>,
    desk: Arc<AdmissionState>,
}

impl HouseKeeper {
    /// A housekeeper for one daemon.
    #[must_use]
    pub const fn new(context: Arc<DaemonContext>, desk: Arc<AdmissionState>) -> Self {
        Self { context, desk }
    }

    /// Works until `stop` is closed.
    pub fn run(&self, stop: &Receiver<()>) {
        while stop.recv_timeout(TICK) == Err(RecvTimeoutError::Timeout) {
            self.desk
                .pending_releases
                .release_due(self.context.clock.now());
            self.wake_waiting();
            self.catch_up();
            self.share_link();
        }
    }

    /// Tokens may have been handed over, so each free slot wakes a request.
    fn wake_waiting(&self) {
        if self.desk.queues.is_empty() {
            return;
        }
        for row in self.context.routes.load().rows() {
            let free = row.gauge.tokens().saturating_sub(row.gauge.in_flight());
            self.desk.queues.wake_many(row.service.as_str(), free);
        }
    }

    /// The daemons share the link of this daemon's region evenly.
    fn share_link(&self) {
        let document = self.context.document.load();
        let region = self.context.settings.node.region.as_str();
        let Some(entry) = document.document().regions.get(region) else {
            return;
        };
        let daemons = self.context.members.load().rows().len().max(1) as u64;
        let bits_per_second = u64::from(entry.link_mbit) * BITS_PER_MEGABIT / daemons;
        self.desk.link_share.set_bandwidth(bits_per_second);
    }

    /// A daemon that the store does not reach learns the configuration from a peer.
    fn catch_up(&self) {
        let Some(address) = self.peer_ahead() else {
            return;
        };
        let known = self.context.document.load().revision();
        let answer = PeerClient::new(&self.context).call(address, &PeerRequest::Document(known));
        if let PeerAnswer::Document(Some((revision, stored))) = answer {
            document::publish(&self.context, stored, revision);
        }
    }

    fn peer_ahead(&self) -> Option<SocketAddr> {
        let known = self.context.document.load().revision();
        let members = self.context.members.load();
        let ahead = members.rows().find(|(_, row)| {
            row.heartbeat
                .as_ref()
                .is_some_and(|(_, _, beat)| beat.revision > known)
        });
        ahead.map(|(_, row)| row.address)
    }
}
