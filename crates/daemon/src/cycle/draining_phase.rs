//! The phase of a daemon that gives up what it holds.

use std::sync::Arc;

use crossbeam::channel::Sender;

use crate::context::DaemonContext;
use crate::serving::HttpPort;
use crate::serving::RequestGate;

/// The daemon takes nothing new and gives up what it holds.
pub struct DrainingPhase {
    pub(super) context: Arc<DaemonContext>,
    pub(super) gate: Arc<RequestGate>,
    pub(super) ports: [HttpPort; 2],
    pub(super) stop: Sender<()>,
}
