//! The entry of a request in a queue.

use crossbeam::channel::Sender;

/// The entry of a waiting request in the queue of its service.
#[derive(Debug)]
pub(super) struct QueuedRequest {
    /// Unique among the entries of all queues of this daemon.
    pub id: u64,
    /// Wakes the thread of the request; dropped when the entry is shed.
    pub wake: Sender<()>,
}
