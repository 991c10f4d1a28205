//! A place in the queue of a service.

use std::time::Duration;

use crossbeam::channel::Receiver;

use crate::callers::ServiceQueues;
use sapphirestile_routing::RouteRefusal;

/// The place of one request in the queue of its service.
///
/// Dropping the ticket removes the request from the queue. If the request was woken but
/// did not receive the wake-up, the next one in the queue is woken.
#[derive(Debug)]
pub struct QueueTicket<'w> {
    queues: &'w ServiceQueues,
    service: &'w str,
    id: u64,
    woken: Receiver<()>,
}

impl<'w> QueueTicket<'w> {
    pub(super) const fn new(
        queues: &'w ServiceQueues,
        service: &'w str,
        id: u64,
        woken: Receiver<()>,
    ) -> Self {
        Self {
            queues,
            service,
            id,
            woken,
        }
    }

    pub(super) fn wait(&self, timeout: Duration) -> Result<(), RouteRefusal> {
        // Shedding an entry drops its sender, which disconnects this channel.
        match self.woken.recv_timeout(timeout) {
            Ok(()) => Ok(()),
            Err(error) if error.is_timeout() => Err(RouteRefusal::DeadlinePassed),
            Err(_) => Err(RouteRefusal::Shed),
        }
    }
}

impl Drop for QueueTicket<'_> {
    fn drop(&mut self) {
        if self.queues.remove(self.service, self.id, &self.woken) {
            self.queues.wake_one(self.service);
        }
    }
}
