//! Requests that wait for a slot.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crossbeam::channel::Sender;
use crossbeam::channel::bounded;

use sapphirestile_core::MonoTime;
use sapphirestile_routing::QueueOutcome;
use sapphirestile_routing::RequestPriority;
use sapphirestile_routing::RouteRefusal;
use sapphirestile_routing::WaitEstimate;
use sapphirestile_routing::WaitingEntry;
use sapphirestile_routing::WaitingQueue;

const WAITING_MAX: usize = 512;

/// Lets threads of requests wait until it is their turn to look for a slot again.
///
/// Who leaves a slot wakes the first in line. Nobody takes the lock while nobody
/// waits.
#[derive(Debug)]
pub struct WaitingRoom {
    queue: Mutex<WaitingQueue<Sender<()>>>,
    waiting: AtomicUsize,
}

impl Default for WaitingRoom {
    fn default() -> Self {
        Self {
            queue: Mutex::new(WaitingQueue::new(WAITING_MAX)),
            waiting: AtomicUsize::new(0),
        }
    }
}

impl WaitingRoom {
    /// Waits until a slot may be free.
    ///
    /// # Errors
    ///
    /// Why the request does not wait any longer; it was not run.
    pub fn wait(
        &self,
        priority: RequestPriority,
        deadline: MonoTime,
        estimate: &WaitEstimate,
        now: MonoTime,
    ) -> Result<(), RouteRefusal> {
        let (wake, woken) = bounded(1);
        let entry = WaitingEntry {
            priority,
            deadline,
            item: wake,
        };
        self.push(entry, estimate, now)?;
        let left = Duration::from_millis(deadline.millis_since(now));
        // An entry that was shed is dropped, and its thread hears of that here.
        match woken.recv_timeout(left) {
            Ok(()) => Ok(()),
            Err(error) if error.is_timeout() => Err(RouteRefusal::DeadlinePassed),
            Err(_) => Err(RouteRefusal::Shed),
        }
    }

    /// Wakes the first in line.
    pub fn wake_one(&self) {
        if self.waiting.load(Ordering::Acquire) == 0 {
            return;
        }
        let mut queue = self.lock();
        while let Some(entry) = queue.pop() {
            // One whose thread has stopped waiting passes its turn on.
            if entry.item.send(()).is_ok() {
                break;
            }
        }
        self.waiting.store(queue.len(), Ordering::Release);
    }

    /// How many requests wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.load(Ordering::Acquire)
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn push(
        &self,
        entry: WaitingEntry<Sender<()>>,
        estimate: &WaitEstimate,
        now: MonoTime,
    ) -> Result<(), RouteRefusal> {
        let mut queue = self.lock();
        let outcome = queue.push(entry, estimate, now);
        self.waiting.store(queue.len(), Ordering::Release);
        match outcome {
            QueueOutcome::Queued | QueueOutcome::Shed(_) => Ok(()),
            QueueOutcome::Refused(_, refusal) => Err(refusal),
        }
    }

    fn lock(&self) -> MutexGuard<'_, WaitingQueue<Sender<()>>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
