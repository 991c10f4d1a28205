//! A start or stop order in flight.

use crate::job_ownership::order_outcome::OrderOutcome;
use crate::job_ownership::worker_order::WorkerOrder;
use crate::job_ownership::worker_process::WorkerProcess;

/// A start or stop order in flight between an owner and a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderCall {
    /// Number of the worker.
    pub worker: u8,
    /// The process that had answered on the connection.
    pub process: WorkerProcess,
    /// The start or stop order.
    pub order: WorkerOrder,
    /// The outcome on its way back; `None` before the worker has received the order.
    pub outcome: Option<OrderOutcome>,
}
