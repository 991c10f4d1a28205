//! Lanes for the orders to one worker.

use std::sync::Arc;

use crate::owner::CallLane;

/// The maximum number of starts that are sent to a worker at the same time.
const STARTS_MAX: usize = 6;

/// The maximum number of stops and changes of pace that are sent to a worker at the same time.
const CONTROLS_MAX: usize = 3;

/// The maximum number of orders that are sent to a worker at the same time, and so of
/// connections for them.
///
/// The workers have few connections, which all daemons share. An owner that stands still keeps
/// those that it has, so what one owner uses leaves room for that of the next ones.
pub const ORDERS_PER_WORKER_MAX: usize = STARTS_MAX + CONTROLS_MAX;

/// Lanes for the orders to one worker. Stops and changes of pace wait behind no start.
#[derive(Clone)]
pub struct WorkerLanes {
    /// Starts.
    pub starts: Arc<CallLane>,
    /// Stops and changes of pace.
    pub controls: Arc<CallLane>,
}

impl WorkerLanes {
    /// Creates lanes without calls.
    #[must_use]
    pub fn new() -> Self {
        Self {
            starts: Arc::new(CallLane::new(STARTS_MAX)),
            controls: Arc::new(CallLane::new(CONTROLS_MAX)),
        }
    }
}

impl Default for WorkerLanes {
    fn default() -> Self {
        Self::new()
    }
}
