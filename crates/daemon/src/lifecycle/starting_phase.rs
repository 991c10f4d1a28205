//! The phase of a daemon that is starting.

use std::sync::Arc;

use crossbeam::channel::Receiver;

use crate::callers::AdmissionState;
use crate::context::DaemonContext;
use crate::lifecycle::DaemonAddresses;
use crate::lifecycle::PeerSockets;
use crate::serving::HttpPort;
use crate::serving::RequestGate;
use crate::tokens::TokenEvent;

/// The daemon is registered and its ports are bound, but its threads are not started.
/// `tokens` holds the events for the thread that will own the tokens.
pub struct StartingPhase {
    pub(super) context: Arc<DaemonContext>,
    pub(super) addresses: DaemonAddresses,
    pub(super) gate: Arc<RequestGate>,
    pub(super) operators_gate: Arc<RequestGate>,
    pub(super) admission: Arc<AdmissionState>,
    pub(super) peers: PeerSockets,
    pub(super) tokens: Receiver<TokenEvent>,
    pub(super) ports: [HttpPort; 2],
}
