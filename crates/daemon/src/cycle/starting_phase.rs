//! The phase of a daemon that does not serve yet.

use std::sync::Arc;

use crossbeam::channel::Receiver;

use crate::callers::AdmissionState;
use crate::context::DaemonContext;
use crate::cycle::DaemonAddresses;
use crate::cycle::PeerPorts;
use crate::serving::HttpPort;
use crate::serving::RequestGate;
use crate::tokens::TokenEvent;

/// The daemon is registered and its ports are bound.
pub struct StartingPhase {
    pub(super) context: Arc<DaemonContext>,
    pub(super) addresses: DaemonAddresses,
    pub(super) gate: Arc<RequestGate>,
    pub(super) desk: Arc<AdmissionState>,
    pub(super) peers: PeerPorts,
    pub(super) tokens: Receiver<TokenEvent>,
    pub(super) ports: [HttpPort; 2],
}
