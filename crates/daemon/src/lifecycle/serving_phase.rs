//! The phase of a daemon that serves requests.

use std::sync::Arc;

use crossbeam::channel::Sender;

use crate::context::DaemonContext;
use crate::lifecycle::DaemonAddresses;
use crate::serving::HttpPort;
use crate::serving::RequestGate;

/// The daemon's threads run and its ports are open. Dropping `stop` ends the threads.
pub struct ServingPhase {
    pub(super) context: Arc<DaemonContext>,
    pub(super) addresses: DaemonAddresses,
    pub(super) gate: Arc<RequestGate>,
    pub(super) operators_gate: Arc<RequestGate>,
    pub(super) ports: [HttpPort; 2],
    pub(super) stop: Sender<()>,
}
