//! A queue of requests that wait for a slot.

use sapphirestile_core::MonoTime;

use crate::QueueOutcome;
use crate::RouteRefusal;
use crate::WaitEstimate;
use crate::WaitingEntry;

const MICROS_PER_MILLI: u64 = 1_000;

/// A queue of requests that wait for a slot, ordered by priority, then by deadline.
///
/// A request is queued only if it can still meet its deadline, so the deadlines bound the
/// length of the queue; a maximum number of entries bounds its memory. Requests that are
/// refused or shed were not run.
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
    max_entries: usize,
}

impl<T> WaitingQueue<T> {
    /// An empty queue for at most `max_entries` entries.
    #[must_use]
    pub const fn new(max_entries: usize) -> Self {
        Self {
            entries: Vec::new(),
            max_entries,
        }
    }

    /// Queues `entry` if it can be answered before its deadline.
    ///
    /// If the queue is full, the last entry is shed if it is less important than `entry`;
    /// otherwise `entry` is refused.
    pub fn push(
        &mut self,
        entry: WaitingEntry<T>,
        estimate: &WaitEstimate,
        now: MonoTime,
    ) -> QueueOutcome<T> {
        let key = (entry.priority, entry.deadline);
        // The entries are in reverse order, so that popping the next one is cheap.
        let index = self
            .entries
            .partition_point(|other| (other.priority, other.deadline) > key);
        let ahead = self.entries.len() - index;
        let left_us = entry.deadline.millis_since(now) * MICROS_PER_MILLI;
        if estimate.finish_us(ahead) > left_us {
            return QueueOutcome::Refused(entry, RouteRefusal::DeadlinePassed);
        }
        if self.entries.len() < self.max_entries {
            self.entries.insert(index, entry);
            return QueueOutcome::Queued;
        }
        let last = self.entries.first();
        if last.is_none_or(|last| last.priority <= entry.priority) {
            return QueueOutcome::Refused(entry, RouteRefusal::Shed);
        }
        self.entries.insert(index, entry);
        QueueOutcome::Shed(self.entries.remove(0))
    }

    /// Removes and returns the next entry.
    pub fn pop(&mut self) -> Option<WaitingEntry<T>> {
        self.entries.pop()
    }

    /// Removes and returns an entry for whose item `matches` returns `true`.
    pub fn remove(&mut self, matches: impl Fn(&T) -> bool) -> Option<WaitingEntry<T>> {
        let index = self.entries.iter().position(|entry| matches(&entry.item))?;
        Some(self.entries.remove(index))
    }

    /// Removes and returns the entries that could not be answered before their deadlines
    /// even if they got a slot now.
    pub fn remove_late(&mut self, service_us: u64, now: MonoTime) -> Vec<WaitingEntry<T>> {
        let late = |entry: &mut WaitingEntry<T>| {
            entry.deadline.millis_since(now) * MICROS_PER_MILLI < service_us
        };
        self.entries.extract_if(.., late).collect()
    }

    /// The number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the queue has no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
