//! A daemon that serves.

use std::sync::Arc;
use std::thread::JoinHandle;

use sapphirestile_serving::HttpPort;
use sapphirestile_serving::RequestGate;

/// What a daemon holds while it serves.
pub struct ServingPhase {
    pub(super) ports: Vec<HttpPort>,
    pub(super) gate: Arc<RequestGate>,
    pub(super) ownership: JoinHandle<()>,
}
