//! Marks a request that wants a slot.

use std::sync::Arc;

use sapphirestile_routing::ServiceTraffic;

/// Counts a request among those that wait for a slot until it is dropped.
#[derive(Debug)]
pub struct WaitingMark {
    traffic: Arc<ServiceTraffic>,
}

impl WaitingMark {
    /// Counts a request of the service with this traffic in.
    #[must_use]
    pub fn new(traffic: Arc<ServiceTraffic>) -> Self {
        traffic.begin_waiting();
        Self { traffic }
    }
}

impl Drop for WaitingMark {
    fn drop(&mut self) {
        self.traffic.end_waiting();
    }
}
