//! A request that was let in.

use std::sync::Arc;

use crate::RequestGate;

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub struct GatePass {
    gate: Arc<RequestGate>,
}

impl GatePass {
    pub(crate) const fn new(gate: Arc<RequestGate>) -> Self {
        Self { gate }
    }
}

impl Drop for GatePass {
    fn drop(&mut self) {
        self.gate.leave();
    }
}
