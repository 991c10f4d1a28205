//! A daemon that takes its leave.

use std::sync::Arc;
use std::thread::JoinHandle;

use sapphirestile_core::MonoTime;
use sapphirestile_serving::HttpPort;
use sapphirestile_serving::RequestGate;

/// What a daemon holds while it takes its leave.
pub struct DrainingPhase {
    pub(super) _ports: Vec<HttpPort>,
    pub(super) gate: Arc<RequestGate>,
    pub(super) ownership: JoinHandle<()>,
    pub(super) since: MonoTime,
}
