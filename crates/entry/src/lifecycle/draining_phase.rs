//! Typestate of a daemon during a planned stop.

use std::sync::Arc;
use std::thread::JoinHandle;

use sapphirestile_core::MonoTime;
use sapphirestile_serving::HttpPort;
use sapphirestile_serving::RequestGate;

/// The resources of a daemon that drains: its ports stay open until it is dropped.
pub struct DrainingPhase {
    pub(super) _ports: Vec<HttpPort>,
    pub(super) gate: Arc<RequestGate>,
    /// The thread that claims and holds the ownership of the jobs.
    pub(super) election: JoinHandle<()>,
    pub(super) drain_started: MonoTime,
    /// When every request has its answer.
    pub(super) answers_due: MonoTime,
}
