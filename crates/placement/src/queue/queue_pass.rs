//! One pass over the queue.

use crate::CustomerQuota;
use crate::PlacementRefusal;
use crate::TaskQueue;
use crate::WaitingJob;
use crate::queue::customer_cursor::CustomerCursor;
use crate::queue::refused_sizes::RefusedSizes;
use sapphirestile_core::CustomerName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;

/// Scale of the integer representation of shares.
const SHARE_SCALE: u128 = 1_000_000_000;

/// Yields the next job to try until every job was placed, refused or skipped.
///
/// Each job yielded by [`QueuePass::next_job`] must be answered with
/// [`QueuePass::mark_placed`], [`QueuePass::mark_refused`] or
/// [`QueuePass::skip_job`] before the next one is requested.
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
/// let total = ResourceSize { cpu_milli: 64_000, memory_mb: 250_000, accelerators: 0 };
/// let mut pass = QueuePass::new(&queue, total, MonoTime::from_millis(0));
/// assert!(pass.next_job(&[]).is_none());
/// ```
#[derive(Debug)]
pub struct QueuePass<'a> {
    jobs: Vec<&'a WaitingJob>,
    cursors: Vec<CustomerCursor>,
    total: ResourceSize,
    current: usize,
    refused: RefusedSizes,
}

impl<'a> QueuePass<'a> {
    /// Creates a pass over the jobs of `queue` that are not delayed beyond `now`.
    ///
    /// `total` is the size of all workers together, to which customers' shares
    /// refer.
    #[must_use]
    pub fn new(queue: &'a TaskQueue, total: ResourceSize, now: MonoTime) -> Self {
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
            total,
            current: 0,
            refused: RefusedSizes::default(),
        }
    }

    /// Returns the job whose next task is to be placed, or `None` at the end of the
    /// pass.
    ///
    /// `customers` must be sorted by name. Jobs of customers that are not in it are
    /// skipped.
    pub fn next_job(&mut self, customers: &[CustomerQuota]) -> Option<&'a WaitingJob> {
        self.cursors.retain(|cursor| !cursor.is_done());
        let mut lowest = None;
        for (index, cursor) in self.cursors.iter().enumerate() {
            let job = self.jobs[cursor.next];
            let Some(share) = share_of(customers, &job.customer, &self.total) else {
                continue;
            };
            let rank = (cursor.backlog, share);
            if lowest.is_none_or(|(least, _)| rank < least) {
                lowest = Some((rank, index));
            }
        }
        let (_, index) = lowest?;
        self.current = index;
        Some(self.jobs[self.cursors[index].next])
    }

    /// Records that the current job's task was placed.
    pub fn mark_placed(&mut self) {
        let cursor = &mut self.cursors[self.current];
        cursor.placed += 1;
        if cursor.placed >= self.jobs[cursor.next].tasks.len() {
            cursor.advance();
        }
    }

    /// Records that the current job's task, of `size`, was refused.
    ///
    /// If the quota is reached for now, the customer's other jobs of the same
    /// urgency are skipped in this pass; any other refusal skips only this job.
    pub fn mark_refused(&mut self, size: &ResourceSize, refusal: &PlacementRefusal) {
        let cursor = &mut self.cursors[self.current];
        let job = self.jobs[cursor.next];
        cursor.advance();
        match refusal {
            PlacementRefusal::NoCapacity { .. } if job.zones.is_empty() => self.refused.add(size),
            PlacementRefusal::QuotaReached {
                larger_than_quota: false,
                ..
            } => cursor.next = cursor.end,
            _ => {}
        }
    }

    /// Whether a task of `size` is at least as large as one that was refused for lack
    /// of capacity in this pass, so that trying it is pointless.
    ///
    /// Only refused tasks that may run in any zone are considered.
    #[must_use]
    pub fn exceeds_refused_size(&self, size: &ResourceSize) -> bool {
        self.refused.cover(size)
    }

    /// Skips the current job without trying to place it.
    pub fn skip_job(&mut self) {
        self.cursors[self.current].advance();
    }
}

/// The customer's dominant share, its largest share of any resource, divided by its
/// priority. Returns `None` for an unknown customer.
fn share_of(
    customers: &[CustomerQuota],
    name: &CustomerName,
    total: &ResourceSize,
) -> Option<u128> {
    let index = customers
        .binary_search_by(|customer| customer.name.cmp(name))
        .ok()?;
    let customer = &customers[index];
    let allocated = &customer.allocated;
    let share =
        |allocated: u64, total: u64| u128::from(allocated) * SHARE_SCALE / u128::from(total.max(1));
    let cpu = share(allocated.cpu_milli, total.cpu_milli);
    let memory = share(allocated.memory_mb, total.memory_mb);
    let accelerators = share(allocated.accelerators.into(), total.accelerators.into());
    let dominant = if total.accelerators == 0 {
        cpu.max(memory)
    } else {
        cpu.max(memory).max(accelerators)
    };
    Some(dominant / u128::from(customer.priority.max(1)))
}
