//! The queues of requests that wait for a slot.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::atomic::fence;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::bounded;

use crate::callers::QueueTicket;
use crate::callers::WaitParameters;
use crate::callers::queued_request::QueuedRequest;
use crate::context::MonoClock;
use sapphirestile_routing::QueueOutcome;
use sapphirestile_routing::RouteRefusal;
use sapphirestile_routing::WaitEstimate;
use sapphirestile_routing::WaitingEntry;
use sapphirestile_routing::WaitingQueue;

const QUEUE_MAX_REQUESTS: usize = 512;

/// The queues of the services, sorted by the services' names.
type QueueTable = Vec<(String, WaitingQueue<QueuedRequest>)>;

/// The queues in which the threads of requests wait for a free slot.
///
/// Each service has its own queue, because a slot of one service is of no use to another.
/// A thread that releases a slot wakes the first request in the queue. The lock is not
/// taken while no request waits.
#[derive(Debug, Default)]
pub struct ServiceQueues {
    queues: Mutex<QueueTable>,
    /// The number of waiting requests, which is read without the lock.
    waiting: AtomicUsize,
    next_id: AtomicU64,
}

impl ServiceQueues {
    /// Calls `try_take` until it returns something, and waits in the queue between calls.
    ///
    /// # Errors
    ///
    /// The error of `try_take`, or the reason why the request stopped waiting; it was not
    /// run.
    pub fn wait_for<T>(
        &self,
        parameters: &WaitParameters<'_>,
        clock: &MonoClock,
        estimate: impl Fn() -> WaitEstimate,
        mut try_take: impl FnMut() -> Result<Option<T>, RouteRefusal>,
    ) -> Result<T, RouteRefusal> {
        loop {
            if let Some(taken) = try_take()? {
                return Ok(taken);
            }
            let ticket = self.enqueue(parameters, clock, &estimate())?;
            // A slot released before the request was in the queue woke no thread.
            if let Some(taken) = try_take()? {
                return Ok(taken);
            }
            let wait_ms = parameters.deadline.millis_since(clock.now());
            ticket.wait(Duration::from_millis(wait_ms))?;
        }
    }

    /// Wakes the first request in the queue of `service`.
    pub fn wake_one(&self, service: &str) {
        // Pairs with the fence in `enqueue`: either this thread sees the waiting request,
        // or the request sees the released slot.
        fence(Ordering::SeqCst);
        if self.waiting.load(Ordering::Relaxed) == 0 {
            return;
        }
        let mut queues = self.lock();
        if let Ok(index) = index_of(&queues, service) {
            let queue = &mut queues[index].1;
            while let Some(entry) = queue.pop() {
                // If the thread of this entry has stopped waiting, wake the next one.
                if entry.item.wake.send(()).is_ok() {
                    break;
                }
            }
        }
        self.update_waiting(&queues);
    }

    /// Wakes up to `free` requests in the queue of `service`, one for each free slot. For
    /// slots that were handed over by another daemon, [`Self::wake_one`] was not called.
    pub fn wake_many(&self, service: &str, free: u32) {
        for _ in 0..free {
            if self.is_empty() {
                return;
            }
            self.wake_one(service);
        }
    }

    /// The number of waiting requests of all services.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.load(Ordering::Acquire)
    }

    /// `true` if no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a request to the queue and publishes the number of waiting requests before the
    /// next call of `try_take`.
    fn enqueue<'w>(
        &'w self,
        parameters: &WaitParameters<'w>,
        clock: &MonoClock,
        estimate: &WaitEstimate,
    ) -> Result<QueueTicket<'w>, RouteRefusal> {
        let (wake, woken) = bounded(1);
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let entry = WaitingEntry {
            priority: parameters.priority,
            deadline: parameters.deadline,
            item: QueuedRequest { id, wake },
        };
        let mut queues = self.lock();
        let index = index_of(&queues, parameters.service).unwrap_or_else(|index| {
            let queue = (
                parameters.service.to_owned(),
                WaitingQueue::new(QUEUE_MAX_REQUESTS),
            );
            queues.insert(index, queue);
            index
        });
        let outcome = queues[index].1.push(entry, estimate, clock.now());
        self.update_waiting(&queues);
        drop(queues);
        fence(Ordering::SeqCst);
        match outcome {
            QueueOutcome::Queued | QueueOutcome::Shed(_) => {
                Ok(QueueTicket::new(self, parameters.service, id, woken))
            }
            QueueOutcome::Refused(_, refusal) => Err(refusal),
        }
    }

    /// Removes the entry of a ticket, if it is still in the queue. Returns `true` if the
    /// request was woken but has not received the wake-up. Wake-ups are sent under the
    /// lock, so none can follow after this call.
    pub(super) fn remove(&self, service: &str, id: u64, woken: &Receiver<()>) -> bool {
        let mut queues = self.lock();
        if let Ok(index) = index_of(&queues, service) {
            queues[index].1.remove(|request| request.id == id);
        }
        self.update_waiting(&queues);
        woken.try_recv().is_ok()
    }

    fn update_waiting(&self, queues: &QueueTable) {
        let waiting = queues.iter().map(|(_, queue)| queue.len()).sum();
        self.waiting.store(waiting, Ordering::Release);
    }

    fn lock(&self) -> MutexGuard<'_, QueueTable> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn index_of(queues: &QueueTable, service: &str) -> Result<usize, usize> {
    queues.binary_search_by(|(name, _)| name.as_str().cmp(service))
}
