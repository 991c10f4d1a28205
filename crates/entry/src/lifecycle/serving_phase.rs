//! Typestate of a daemon in normal operation.

use std::sync::Arc;
use std::thread::JoinHandle;

use sapphirestile_serving::HttpPort;
use sapphirestile_serving::RequestGate;

/// The resources of a daemon that serves requests.
pub struct ServingPhase {
    pub(super) ports: Vec<HttpPort>,
    pub(super) gate: Arc<RequestGate>,
    /// The thread that claims and holds the ownership of the jobs.
    pub(super) election: JoinHandle<()>,
}
