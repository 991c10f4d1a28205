//! A call that carries an order.

use crate::job_ownership::order_answer::OrderAnswer;
use crate::job_ownership::worker_order::WorkerOrder;

/// A start or a stop on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderCall {
    /// The worker.
    pub worker: u8,
    /// The order.
    pub order: WorkerOrder,
    /// The answer on its way back.
    pub answer: Option<OrderAnswer>,
}
