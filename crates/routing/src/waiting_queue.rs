//! Requests that wait for a slot.

use sapphirestile_core::MonoTime;

use crate::QueueOutcome;
use crate::RouteRefusal;
use crate::WaitEstimate;
use crate::WaitingEntry;

const MICROS_PER_MILLI: u64 = 1_000;

/// Requests that wait for a slot, in the order of priority, then of deadlines.
///
/// A request is let in only while it can still meet its deadline, so the queue's
/// length is bound by the deadlines; a plain bound on the entries keeps the
/// memory bounded. What is refused or shed was not run.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_routing::QueueOutcome;
/// use sapphirestile_routing::RequestPriority;
/// use sapphirestile_routing::WaitEstimate;
/// use sapphirestile_routing::WaitingEntry;
/// use sapphirestile_routing::WaitingQueue;
///
/// let mut queue = WaitingQueue::new(10);
/// let estimate = WaitEstimate { slots: 1, service_us: 20_000 };
/// let entry = WaitingEntry {
///     priority: RequestPriority::Standard,
///     deadline: MonoTime::from_millis(50),
///     item: "fit check",
/// };
/// let now = MonoTime::from_millis(0);
/// assert_eq!(queue.push(entry, &estimate, now), QueueOutcome::Queued);
/// assert!(queue.remove(|item| *item == "chart review").is_none());
/// assert_eq!(queue.pop().unwrap().item, "fit check");
/// ```
#[derive(Debug)]
pub struct WaitingQueue<T> {
    entries: Vec<WaitingEntry<T>>,
    most: usize,
}

impl<T> WaitingQueue<T> {
    /// An empty queue for at most `most` entries.
    #[must_use]
    pub const fn new(most: usize) -> Self {
        Self {
            entries: Vec::new(),
            most,
        }
    }

    /// Lets `entry` wait, if it can be answered in time.
    pub fn push(
        &mut self,
        entry: WaitingEntry<T>,
        estimate: &WaitEstimate,
        now: MonoTime,
    ) -> QueueOutcome<T> {
        let key = (entry.priority, entry.deadline);
        // The entries are kept last in line first, so that popping is cheap.
        let place = self
            .entries
            .partition_point(|other| (other.priority, other.deadline) > key);
        let ahead = self.entries.len() - place;
        let left_us = entry.deadline.millis_since(now) * MICROS_PER_MILLI;
        if estimate.finish_us(ahead) > left_us {
            return QueueOutcome::Refused(entry, RouteRefusal::DeadlinePassed);
        }
        if self.entries.len() < self.most {
            self.entries.insert(place, entry);
            return QueueOutcome::Queued;
        }
        let last = self.entries.first();
        if last.is_none_or(|last| last.priority <= entry.priority) {
            return QueueOutcome::Refused(entry, RouteRefusal::Shed);
        }
        self.entries.insert(place, entry);
        QueueOutcome::Shed(self.entries.remove(0))
    }

    /// Takes the entry whose turn it is.
    pub fn pop(&mut self) -> Option<WaitingEntry<T>> {
        self.entries.pop()
    }

    /// Takes out the entry that `is_wanted` finds, if one does.
    pub fn remove(&mut self, is_wanted: impl Fn(&T) -> bool) -> Option<WaitingEntry<T>> {
        let place = self
            .entries
            .iter()
            .position(|entry| is_wanted(&entry.item))?;
        Some(self.entries.remove(place))
    }

    /// Takes out the entries that can no longer be answered in time, even with a
    /// slot at once.
    pub fn remove_late(&mut self, service_us: u64, now: MonoTime) -> Vec<WaitingEntry<T>> {
        let late = |entry: &mut WaitingEntry<T>| {
            entry.deadline.millis_since(now) * MICROS_PER_MILLI < service_us
        };
        self.entries.extract_if(.., late).collect()
    }

    /// How many entries wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no entry waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
