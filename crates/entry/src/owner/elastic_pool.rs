//! Threads that carry calls to workers.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use crossbeam::channel::unbounded;

/// The stack of a thread that calls a worker, in bytes.
const STACK_BYTES: usize = 192 * 1_024;

/// How long a thread waits for another call before it ends.
const IDLE_MAX: Duration = Duration::from_secs(5);

type PoolCall = Box<dyn FnOnce() + Send>;

/// Threads that carry calls, begun when all others are busy and ended when there is
/// nothing to do for a while. Calls beyond the most threads wait for their turn.
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
    threads: Arc<AtomicUsize>,
    idle: Arc<AtomicUsize>,
}

impl ElasticPool {
    /// A pool of at most so many threads; none has begun yet.
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

    /// How many threads there are.
    #[must_use]
    pub fn threads(&self) -> usize {
        self.threads.load(Ordering::SeqCst)
    }

    /// Has a call carried out, now or when a thread is free.
    pub fn run(&self, call: impl FnOnce() + Send + 'static) {
        // The pool holds a receiver, so the queue takes every call.
        let _ = self.calls.send(Box::new(call));
        let is_covered = self.idle.load(Ordering::SeqCst) >= self.queue.len();
        if !is_covered && self.threads() < self.threads_max {
            self.begin_thread();
        }
    }

    fn begin_thread(&self) {
        let queue = self.queue.clone();
        let (threads, idle) = (Arc::clone(&self.threads), Arc::clone(&self.idle));
        threads.fetch_add(1, Ordering::SeqCst);
        let builder = thread::Builder::new()
            .name(self.name.to_owned())
            .stack_size(STACK_BYTES);
        let spawned = builder.spawn(move || {
            serve(&queue, &idle);
            threads.fetch_sub(1, Ordering::SeqCst);
        });
        if let Err(error) = spawned {
            self.threads.fetch_sub(1, Ordering::SeqCst);
            tracing::error!(
                pool = self.name,
                threads = self.threads(),
                %error,
                "the operating system gives no thread: calls wait for others"
            );
        }
    }
}

/// Carries calls until there are none for a while. A call that came while the thread
/// still counted as idle is taken before it ends.
fn serve(queue: &Receiver<PoolCall>, idle: &AtomicUsize) {
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
