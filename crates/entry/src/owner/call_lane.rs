//! Calls of one kind to one worker.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use crossbeam::queue::SegQueue;

use crate::owner::ElasticPool;

type LaneCall = Box<dyn FnOnce() + Send>;

/// Calls of one kind to one worker, of which only some run at the same time. The others wait
/// here and occupy no thread, so a worker that does not answer delays no calls to others.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
/// use std::sync::mpsc::channel;
///
/// use sapphirestile_entry::CallLane;
/// use sapphirestile_entry::ElasticPool;
///
/// let pool = ElasticPool::new("example", 8);
/// let lane = Arc::new(CallLane::new(2));
/// let (sender, answers) = channel();
/// for number in 0..10 {
///     let sender = sender.clone();
///     lane.run(&pool, move || sender.send(number).unwrap());
/// }
/// let sum: u32 = answers.iter().take(10).sum();
/// assert_eq!(sum, 45);
/// assert!(pool.threads() <= 2);
/// ```
pub struct CallLane {
    waiting: SegQueue<LaneCall>,
    /// The number of threads that run calls of this lane.
    threads: AtomicUsize,
    threads_max: usize,
}

impl CallLane {
    /// Creates a lane of which at most `threads_max` calls run at the same time.
    #[must_use]
    pub const fn new(threads_max: usize) -> Self {
        Self {
            waiting: SegQueue::new(),
            threads: AtomicUsize::new(0),
            threads_max,
        }
    }

    /// Queues a call, which a thread of `pool` runs.
    pub fn run(self: &Arc<Self>, pool: &ElasticPool, call: impl FnOnce() + Send + 'static) {
        self.waiting.push(Box::new(call));
        if self.enter() {
            let lane = Arc::clone(self);
            pool.run(move || lane.run_waiting());
        }
    }

    /// Counts another thread, unless there are enough.
    fn enter(&self) -> bool {
        let entered = self
            .threads
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |threads| {
                (threads < self.threads_max).then_some(threads + 1)
            });
        entered.is_ok()
    }

    /// Runs calls until none waits. One that was queued after the last look, while all threads
    /// were still counted, is found by the second.
    fn run_waiting(&self) {
        loop {
            while let Some(call) = self.waiting.pop() {
                call();
            }
            self.threads.fetch_sub(1, Ordering::SeqCst);
            if self.waiting.is_empty() || !self.enter() {
                return;
            }
        }
    }
}
