//! Threads that make calls to workers: some for workers that respond, others for workers
//! that do not.

use std::thread;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use crossbeam::channel::unbounded;

use crate::cells::PoolSizes;
use crate::cells::WorkerReach;

/// A pool of threads that make calls to workers. Workers that did not answer their
/// last session have separate threads, so that a call that waits for its time-out
/// does not delay calls to workers that answer.
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
    /// Starts the threads, each of which passes its calls to `serve`. They end when the
    /// last clone of the pool is dropped.
    #[must_use]
    pub fn start(sizes: PoolSizes, serve: impl Fn(Call) + Clone + Send + 'static) -> Self {
        Self {
            reachable: start_threads(sizes.reachable, &serve),
            silent: start_threads(sizes.silent, &serve),
        }
    }

    /// Queues a call for the threads of its [`WorkerReach`]. The queue has no bound and
    /// this does not block.
    pub fn queue(&self, reach: WorkerReach, call: Call) {
        let calls = match reach {
            WorkerReach::Reachable => &self.reachable,
            WorkerReach::Silent => &self.silent,
        };
        // Sending cannot fail: the threads outlive every clone of the pool.
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
