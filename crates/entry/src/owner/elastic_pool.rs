//! Thread pool for blocking calls to workers.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use crossbeam::channel::unbounded;

/// The stack size of a pool thread, in bytes.
const STACK_BYTES: usize = 192 * 1_024;

/// How long an idle thread waits for another call before it ends.
const IDLE_MAX: Duration = Duration::from_secs(5);

type PoolCall = Box<dyn FnOnce() + Send>;

/// A pool of threads for blocking calls. A thread is added when all others are busy,
/// and ends when idle for some time. Calls beyond the maximum number of threads are
/// queued.
///
/// # Examples
///
/// ```
/// use std::sync::mpsc::channel;
///
/// use sapphirestile_entry::ElasticPool;
///
/// let pool = ElasticPool::new("example", 2);
/// let (sender, answers) = channel();
/// for number in 0..10 {
///     let sender = sender.clone();
///     pool.run(move || sender.send(number).unwrap());
/// }
/// let sum: u32 = answers.iter().take(10).sum();
/// assert_eq!(sum, 45);
/// assert!(pool.threads() <= 2);
/// ```
#[derive(Clone, Debug)]
pub struct ElasticPool {
    name: &'static str,
    threads_max: usize,
    calls: Sender<PoolCall>,
    queue: Receiver<PoolCall>,
    /// The current number of threads.
    threads: Arc<AtomicUsize>,
    /// The number of threads that wait for a call.
    idle: Arc<AtomicUsize>,
}

impl ElasticPool {
    /// Creates a pool of at most `threads_max` threads; none is started yet.
    #[must_use]
    pub fn new(name: &'static str, threads_max: usize) -> Self {
        let (calls, queue) = unbounded();
        Self {
            name,
            threads_max,
            calls,
            queue,
            threads: Arc::default(),
            idle: Arc::default(),
        }
    }

    /// The current number of threads.
    #[must_use]
    pub fn threads(&self) -> usize {
        self.threads.load(Ordering::SeqCst)
    }

    /// Queues a call and starts a thread for it if needed and allowed.
    pub fn run(&self, call: impl FnOnce() + Send + 'static) {
        // Sending cannot fail: the pool itself holds a receiver.
        let _ = self.calls.send(Box::new(call));
        let is_covered = self.idle.load(Ordering::SeqCst) >= self.queue.len();
        if !is_covered && self.threads() < self.threads_max {
            self.spawn_thread();
        }
    }

    fn spawn_thread(&self) {
        let queue = self.queue.clone();
        let (threads, idle) = (Arc::clone(&self.threads), Arc::clone(&self.idle));
        threads.fetch_add(1, Ordering::SeqCst);
        let builder = thread::Builder::new()
            .name(self.name.to_owned())
            .stack_size(STACK_BYTES);
        let spawned = builder.spawn(move || {
            run_calls(&queue, &idle);
            threads.fetch_sub(1, Ordering::SeqCst);
        });
        if let Err(error) = spawned {
            self.threads.fetch_sub(1, Ordering::SeqCst);
            tracing::error!(
                pool = self.name,
                threads = self.threads(),
                %error,
                "failed to spawn a pool thread; calls wait for the existing threads"
            );
        }
    }
}

/// Runs calls until none has come for [`IDLE_MAX`]. The second, non-blocking receive
/// picks up a call that was queued while this thread still counted as idle.
fn run_calls(queue: &Receiver<PoolCall>, idle: &AtomicUsize) {
    loop {
        idle.fetch_add(1, Ordering::SeqCst);
        let waited = queue.recv_timeout(IDLE_MAX);
        idle.fetch_sub(1, Ordering::SeqCst);
        match waited.or_else(|_| queue.try_recv()) {
            Ok(call) => call(),
            Err(_) => return,
        }
    }
}
