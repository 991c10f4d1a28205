//! Threads that serve calls to workers.

use std::thread;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use crossbeam::channel::unbounded;

use crate::cells::PoolSizes;
use crate::cells::WorkerReach;

/// Threads that serve calls to workers, with threads of their own for workers
/// that were silent: a call that waits for its time-out delays no call to a
/// worker that answers.
///
/// # Examples
///
/// ```
/// use crossbeam::channel::unbounded;
/// use sapphirestile_daemon::cells::CallPool;
/// use sapphirestile_daemon::cells::PoolSizes;
/// use sapphirestile_daemon::cells::WorkerReach;
///
/// let (served, calls) = unbounded();
/// let sizes = PoolSizes { reachable: 2, silent: 1 };
/// let pool = CallPool::start(sizes, move |call: &str| served.send(call).unwrap());
/// pool.queue(WorkerReach::Silent, "renew");
/// assert_eq!(calls.recv(), Ok("renew"));
/// ```
#[derive(Debug)]
pub struct CallPool<Call> {
    reachable: Sender<Call>,
    silent: Sender<Call>,
}

impl<Call> Clone for CallPool<Call> {
    fn clone(&self) -> Self {
        Self {
            reachable: self.reachable.clone(),
            silent: self.silent.clone(),
        }
    }
}

impl<Call: Send + 'static> CallPool<Call> {
    /// Starts the threads. They end when the last handle is dropped.
    #[must_use]
    pub fn start(sizes: PoolSizes, serve: impl Fn(Call) + Clone + Send + 'static) -> Self {
        Self {
            reachable: start_threads(sizes.reachable, &serve),
            silent: start_threads(sizes.silent, &serve),
        }
    }

    /// Queues a call.
    pub fn queue(&self, reach: WorkerReach, call: Call) {
        let calls = match reach {
            WorkerReach::Reachable => &self.reachable,
            WorkerReach::Silent => &self.silent,
        };
        // The threads outlive every handle, so the queue is never closed.
        let _queued = calls.send(call);
    }
}

fn start_threads<Call: Send + 'static>(
    threads: usize,
    serve: &(impl Fn(Call) + Clone + Send + 'static),
) -> Sender<Call> {
    let (calls, queue): (Sender<Call>, Receiver<Call>) = unbounded();
    for _ in 0..threads {
        let queue = queue.clone();
        let serve = serve.clone();
        thread::spawn(move || queue.into_iter().for_each(serve));
    }
    calls
}
