//! A poll in flight.

use crate::job_ownership::poll_response::PollResponse;
use crate::job_ownership::worker_order::WorkerOrder;
use crate::job_ownership::worker_process::WorkerProcess;

/// A poll in flight between an owner and a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PollCall {
    /// Number of the worker.
    pub worker: u8,
    /// The process that had answered on the connection.
    pub process: WorkerProcess,
    /// The poll; always [`WorkerOrder::Poll`].
    pub order: WorkerOrder,
    /// Whether the response must list the tracked run if it is still running, because its
    /// start or stop order was answered before the poll was sent.
    pub covers_run: bool,
    /// The response on its way back; `None` before the worker has received the poll.
    pub response: Option<PollResponse>,
}
