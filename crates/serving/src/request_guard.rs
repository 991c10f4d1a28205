//! Guard of a request in flight.

use std::sync::Arc;

use crate::RequestGate;

/// Counts a request as in flight at its gate until dropped.
#[derive(Debug)]
pub struct RequestGuard {
    gate: Arc<RequestGate>,
    is_admitted: bool,
}

impl RequestGuard {
    pub(crate) const fn new(gate: Arc<RequestGate>, is_admitted: bool) -> Self {
        Self { gate, is_admitted }
    }

    /// Whether the request is to be served; otherwise it is to be refused.
    #[must_use]
    pub const fn is_admitted(&self) -> bool {
        self.is_admitted
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.gate.leave();
    }
}
