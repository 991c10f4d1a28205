//! Requests that wait for a slot.

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

use crate::callers::WaitingTurn;
use crate::callers::WaitingWish;
use crate::callers::waiting_call::WaitingCall;
use crate::context::MonoClock;
use sapphirestile_routing::QueueOutcome;
use sapphirestile_routing::RouteRefusal;
use sapphirestile_routing::WaitEstimate;
use sapphirestile_routing::WaitingEntry;
use sapphirestile_routing::WaitingQueue;

const WAITING_MAX: usize = 512;

/// The lines of the services, sorted by the services' names.
type ServiceLines = Vec<(String, WaitingQueue<WaitingCall>)>;

/// Lets threads of requests wait until it is their turn to look for a slot again.
///
/// Each service has a line of its own, since a slot of one is of no use to the
/// others. Who leaves a slot wakes the first in line. Nobody takes the lock while
/// nobody waits.
#[derive(Debug, Default)]
pub struct WaitingRoom {
    lines: Mutex<ServiceLines>,
    waiting: AtomicUsize,
    entered: AtomicU64,
}

impl WaitingRoom {
    /// Looks until something is found, and waits in line between the looks.
    ///
    /// # Errors
    ///
    /// What `look` refuses, or why the request does not wait any longer; it was
    /// not run.
    pub fn until<T>(
        &self,
        wish: &WaitingWish<'_>,
        clock: &MonoClock,
        estimate: impl Fn() -> WaitEstimate,
        mut look: impl FnMut() -> Result<Option<T>, RouteRefusal>,
    ) -> Result<T, RouteRefusal> {
        loop {
            if let Some(found) = look()? {
                return Ok(found);
            }
            let turn = self.enter(wish, clock, &estimate())?;
            // What came free before the turn was in line has woken nobody.
            if let Some(found) = look()? {
                return Ok(found);
            }
            let left = wish.deadline.millis_since(clock.now());
            turn.wait(Duration::from_millis(left))?;
        }
    }

    /// Wakes the first in line for `service`.
    pub fn wake_one(&self, service: &str) {
        // Pairs with the fence of `enter`: either this sees who waits, or who
        // waits sees the slot that was left.
        fence(Ordering::SeqCst);
        if self.waiting.load(Ordering::Relaxed) == 0 {
            return;
        }
        let mut lines = self.lock();
        if let Ok(place) = place_of(&lines, service) {
            let queue = &mut lines[place].1;
            while let Some(entry) = queue.pop() {
                // One whose thread has stopped waiting passes its turn on.
                if entry.item.wake.send(()).is_ok() {
                    break;
                }
            }
        }
        self.count(&lines);
    }

    /// Wakes as many in line for `service` as it has free slots. Slots that were
    /// handed over have woken nobody.
    pub fn wake_free(&self, service: &str, free: u32) {
        for _ in 0..free {
            if self.is_empty() {
                return;
            }
            self.wake_one(service);
        }
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

    /// Takes a place in the line, and says so before the next look.
    fn enter<'w>(
        &'w self,
        wish: &WaitingWish<'w>,
        clock: &MonoClock,
        estimate: &WaitEstimate,
    ) -> Result<WaitingTurn<'w>, RouteRefusal> {
        let (wake, woken) = bounded(1);
        let number = self.entered.fetch_add(1, Ordering::Relaxed);
        let entry = WaitingEntry {
            priority: wish.priority,
            deadline: wish.deadline,
            item: WaitingCall { number, wake },
        };
        let mut lines = self.lock();
        let place = place_of(&lines, wish.service).unwrap_or_else(|place| {
            let line = (wish.service.to_owned(), WaitingQueue::new(WAITING_MAX));
            lines.insert(place, line);
            place
        });
        let outcome = lines[place].1.push(entry, estimate, clock.now());
        self.count(&lines);
        drop(lines);
        fence(Ordering::SeqCst);
        match outcome {
            QueueOutcome::Queued | QueueOutcome::Shed(_) => {
                Ok(WaitingTurn::new(self, wish.service, number, woken))
            }
            QueueOutcome::Refused(_, refusal) => Err(refusal),
        }
    }

    /// Ends a turn: its entry, when it still waits, leaves the line. Returns whether
    /// the turn was woken in vain. Wakes are sent under the lock, so none comes
    /// after the answer.
    pub(super) fn leave(&self, service: &str, number: u64, woken: &Receiver<()>) -> bool {
        let mut lines = self.lock();
        if let Ok(place) = place_of(&lines, service) {
            lines[place].1.remove(|call| call.number == number);
        }
        self.count(&lines);
        woken.try_recv().is_ok()
    }

    fn count(&self, lines: &ServiceLines) {
        let waiting = lines.iter().map(|(_, queue)| queue.len()).sum();
        self.waiting.store(waiting, Ordering::Release);
    }

    fn lock(&self) -> MutexGuard<'_, ServiceLines> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn place_of(lines: &ServiceLines, service: &str) -> Result<usize, usize> {
    lines.binary_search_by(|(name, _)| name.as_str().cmp(service))
}
