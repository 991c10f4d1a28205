//! The phase of a daemon that is stopping.

use std::sync::Arc;

use crossbeam::channel::Sender;

use crate::context::DaemonContext;
use crate::serving::HttpPort;
use crate::serving::RequestGate;

/// The daemon claims no cells, releases those it owns and answers requests until `gate` is
/// closed. Dropping `stop` ends its threads.
pub struct DrainingPhase {
    pub(super) context: Arc<DaemonContext>,
    pub(super) gate: Arc<RequestGate>,
    pub(super) operators_gate: Arc<RequestGate>,
    pub(super) ports: [HttpPort; 2],
    pub(super) stop: Sender<()>,
}
