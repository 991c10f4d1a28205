//! Guard of a request in flight.

use std::sync::Arc;

use crate::RequestGate;

/// Counts a request as in flight at its gate until dropped.
#[derive(Debug)]
pub struct RequestGuard {
    gate: Arc<RequestGate>,
}

impl RequestGuard {
    pub(crate) const fn new(gate: Arc<RequestGate>) -> Self {
        Self { gate }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.gate.leave();
    }
}
