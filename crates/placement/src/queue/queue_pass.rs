//! One walk over the queue.

use crate::CustomerRoom;
use crate::PlacementRefusal;
use crate::TaskQueue;
use crate::WaitingJob;
use crate::queue::customer_cursor::CustomerCursor;
use crate::queue::refused_sizes::RefusedSizes;
use sapphirestile_core::CustomerName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;

const SHARE_SCALE: u128 = 1_000_000_000;

/// Gives out the job to try next until every job was placed or refused.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_core::ResourceSize;
/// use sapphirestile_placement::QueuePass;
/// use sapphirestile_placement::TaskQueue;
///
/// let queue = TaskQueue::default();
/// let whole = ResourceSize { cpu_milli: 64_000, memory_mb: 250_000, accelerators: 0 };
/// let mut pass = QueuePass::new(&queue, whole, MonoTime::from_millis(0));
/// assert!(pass.next_job(&[]).is_none());
/// ```
#[derive(Debug)]
pub struct QueuePass<'a> {
    jobs: Vec<&'a WaitingJob>,
    cursors: Vec<CustomerCursor>,
    whole: ResourceSize,
    current: usize,
    refused: RefusedSizes,
}

impl<'a> QueuePass<'a> {
    /// A pass over the jobs of `queue` that may start at `now`.
    ///
    /// Shares are of `whole`, the size of all workers together.
    #[must_use]
    pub fn new(queue: &'a TaskQueue, whole: ResourceSize, now: MonoTime) -> Self {
        let ready = |job: &&WaitingJob| job.not_before <= now;
        let jobs = queue.jobs().filter(ready).collect::<Vec<_>>();
        let same = |left: &&WaitingJob, right: &&WaitingJob| {
            left.urgent == right.urgent && left.customer == right.customer
        };
        let mut next = 0;
        let mut cursors = Vec::new();
        for chunk in jobs.chunk_by(same) {
            cursors.push(CustomerCursor {
                backlog: !chunk[0].urgent,
                next,
                end: next + chunk.len(),
                placed: 0,
            });
            next += chunk.len();
        }
        Self {
            jobs,
            cursors,
            whole,
            current: 0,
            refused: RefusedSizes::default(),
        }
    }

    /// The job whose next task to place; the caller answers with
    /// [`QueuePass::placed`] or [`QueuePass::refused`].
    ///
    /// `customers` is in the order of names. Jobs of a customer that is not
    /// among them are passed over.
    pub fn next_job(&mut self, customers: &[CustomerRoom]) -> Option<&'a WaitingJob> {
        self.cursors.retain(|cursor| !cursor.is_done());
        let mut lowest = None;
        for (place, cursor) in self.cursors.iter().enumerate() {
            let job = self.jobs[cursor.next];
            let Some(share) = share_of(customers, &job.customer, &self.whole) else {
                continue;
            };
            let rank = (cursor.backlog, share);
            if lowest.is_none_or(|(least, _)| rank < least) {
                lowest = Some((rank, place));
            }
        }
        let (_, place) = lowest?;
        self.current = place;
        Some(self.jobs[self.cursors[place].next])
    }

    /// The task given out last was placed.
    pub fn placed(&mut self) {
        let cursor = &mut self.cursors[self.current];
        cursor.placed += 1;
        if cursor.placed >= self.jobs[cursor.next].tasks.len() {
            cursor.advance();
        }
    }

    /// The task given out last, of `size`, was refused.
    ///
    /// A reached quota ends the customer's turn for this pass; any other
    /// refusal passes over the job.
    pub fn refused(&mut self, size: &ResourceSize, refusal: &PlacementRefusal) {
        let cursor = &mut self.cursors[self.current];
        let job = self.jobs[cursor.next];
        cursor.advance();
        match refusal {
            PlacementRefusal::NoRoomNow { .. } if job.zones.is_empty() => self.refused.add(size),
            PlacementRefusal::QuotaReached {
                larger_than_quota: false,
                ..
            } => cursor.next = cursor.end,
            _ => {}
        }
    }

    /// Whether a task of `size` is as large as one that found no room in this pass.
    #[must_use]
    pub fn found_no_room(&self, size: &ResourceSize) -> bool {
        self.refused.cover(size)
    }

    /// Passes over the job given out last without asking for a worker.
    pub fn pass_over(&mut self) {
        self.cursors[self.current].advance();
    }
}

/// The largest share that the customer has of a dimension, over its priority.
fn share_of(customers: &[CustomerRoom], name: &CustomerName, whole: &ResourceSize) -> Option<u128> {
    let place = customers
        .binary_search_by(|customer| customer.name.cmp(name))
        .ok()?;
    let customer = &customers[place];
    let given = &customer.given;
    let part = |given: u64, whole: u64| u128::from(given) * SHARE_SCALE / u128::from(whole.max(1));
    let cpu = part(given.cpu_milli, whole.cpu_milli);
    let memory = part(given.memory_mb, whole.memory_mb);
    let accelerators = part(given.accelerators.into(), whole.accelerators.into());
    let dominant = if whole.accelerators == 0 {
        cpu.max(memory)
    } else {
        cpu.max(memory).max(accelerators)
    };
    Some(dominant / u128::from(customer.priority.max(1)))
}
