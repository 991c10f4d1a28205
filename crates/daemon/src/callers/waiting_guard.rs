//! Counts a request that waits for a slot.

use std::sync::Arc;

use sapphirestile_routing::ServiceTraffic;

/// Counts a request in its service's number of waiting requests until it is dropped.
#[derive(Debug)]
pub struct WaitingGuard {
    traffic: Arc<ServiceTraffic>,
}

impl WaitingGuard {
    /// Counts a request of the service to which `traffic` belongs.
    #[must_use]
    pub fn new(traffic: Arc<ServiceTraffic>) -> Self {
        traffic.begin_waiting();
        Self { traffic }
    }
}

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        self.traffic.end_waiting();
    }
}
