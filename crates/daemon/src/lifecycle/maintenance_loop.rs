//! Periodic work of a daemon that needs no thread of its own.

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
const INTERVAL: Duration = Duration::from_millis(250);

/// Four times a second, releases the slots of lost requests that are due, wakes waiting
/// requests for free slots, fetches a newer configuration from a peer, and updates the
/// daemon's share of the link between regions.
pub struct MaintenanceLoop {
    context: Arc<DaemonContext>,
    admission: Arc<AdmissionState>,
}

impl MaintenanceLoop {
    /// Creates the loop; [`run`](Self::run) starts it on the calling thread.
    #[must_use]
    pub const fn new(context: Arc<DaemonContext>, admission: Arc<AdmissionState>) -> Self {
        Self { context, admission }
    }

    /// Blocks until `stop` is closed.
    pub fn run(&self, stop: &Receiver<()>) {
        while stop.recv_timeout(INTERVAL) == Err(RecvTimeoutError::Timeout) {
            self.admission
                .pending_releases
                .release_due(self.context.clock.now());
            self.wake_waiting_requests();
            self.fetch_newer_document();
            self.update_link_share();
        }
    }

    /// Wakes a waiting request for each free slot. Slots become free without a wake-up
    /// when other daemons hand over tokens.
    fn wake_waiting_requests(&self) {
        if self.admission.queues.is_empty() {
            return;
        }
        for row in self.context.routes.load().rows() {
            let free = row.gauge.tokens().saturating_sub(row.gauge.in_flight());
            self.admission.queues.wake_many(row.service.as_str(), free);
        }
    }

    /// Sets this daemon's share of the link: the daemons share the bandwidth that the
    /// document gives for this daemon's region evenly.
    fn update_link_share(&self) {
        let document = self.context.document.load();
        let region = self.context.settings.node.region.as_str();
        let Some(entry) = document.document().regions.get(region) else {
            return;
        };
        let daemons = self.context.members.load().rows().len().max(1) as u64;
        let bits_per_second = u64::from(entry.link_mbit) * BITS_PER_MEGABIT / daemons;
        self.admission.link_share.set_bandwidth(bits_per_second);
    }

    /// Fetches the configuration from a peer that has a newer revision, so that a daemon
    /// without a connection to the store gets it too.
    fn fetch_newer_document(&self) {
        let Some(address) = self.newer_peer() else {
            return;
        };
        let known = self.context.document.load().revision();
        let answer = PeerClient::new(&self.context).call(address, &PeerRequest::Document(known));
        if let PeerAnswer::Document(Some((revision, stored))) = answer {
            document::publish(&self.context, stored, revision);
        }
    }

    /// The address of a peer whose latest heartbeat shows a newer revision.
    fn newer_peer(&self) -> Option<SocketAddr> {
        let known = self.context.document.load().revision();
        let members = self.context.members.load();
        let newer = members.rows().find(|(_, row)| {
            row.heartbeat
                .as_ref()
                .is_some_and(|(_, _, beat)| beat.revision > known)
        });
        newer.map(|(_, row)| row.address)
    }
}
