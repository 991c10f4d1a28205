//! Calls to workers that answer while other workers do not.

use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use crossbeam::channel::unbounded;

use sapphirestile_daemon::cells::CallPool;
use sapphirestile_daemon::cells::PoolSizes;
use sapphirestile_daemon::cells::WorkerReach;

const SIZES: PoolSizes = PoolSizes {
    reachable: 4,
    silent: 2,
};
const WORKERS: u32 = 40;
/// The time after which a test fails if a call is not served.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);

/// A step of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallStep {
    Waits,
    Answered(u32),
}

/// A call to a worker. A call to a silent worker waits until the channel `timeout` closes.
struct TestCall {
    worker: u32,
    timeout: Option<Receiver<()>>,
}

struct PoolFixture {
    pool: CallPool<TestCall>,
    steps: Receiver<CallStep>,
    timeout: Receiver<()>,
    /// Dropping this sender ends all calls to silent workers.
    timeout_sender: Sender<()>,
}

impl PoolFixture {
    fn new() -> Self {
        let (sender, steps) = unbounded();
        let (timeout_sender, timeout) = unbounded();
        let pool = CallPool::start(SIZES, move |call: TestCall| {
            if let Some(timeout) = call.timeout {
                // The test may have ended already.
                let _sent = sender.send(CallStep::Waits);
                let _timed_out = timeout.recv();
            }
            let _sent = sender.send(CallStep::Answered(call.worker));
        });
        Self {
            pool,
            steps,
            timeout,
            timeout_sender,
        }
    }

    fn call_silent(&self, workers: u32) {
        for worker in 0..workers {
            let timeout = Some(self.timeout.clone());
            let call = TestCall { worker, timeout };
            self.pool.queue(WorkerReach::Silent, call);
        }
    }

    fn next(&self) -> CallStep {
        self.steps
            .recv_timeout(STEP_TIMEOUT)
            .expect("a call is served")
    }
}

#[test]
fn calls_to_answering_workers_do_not_wait_behind_silent_ones() {
    let fixture = PoolFixture::new();
    fixture.call_silent(WORKERS);
    for _ in 0..SIZES.silent {
        assert_eq!(fixture.next(), CallStep::Waits);
    }
    for worker in 0..WORKERS {
        let call = TestCall {
            worker,
            timeout: None,
        };
        fixture.pool.queue(WorkerReach::Reachable, call);
    }
    let mut answered: Vec<_> = (0..WORKERS).map(|_| fixture.next()).collect();
    answered.sort_by_key(|step| match step {
        CallStep::Waits => None,
        CallStep::Answered(worker) => Some(*worker),
    });
    let every: Vec<_> = (0..WORKERS).map(CallStep::Answered).collect();
    assert_eq!(answered, every);
    // Only the threads reserved for silent workers have taken silent calls.
    assert!(fixture.steps.is_empty());
}

#[test]
fn every_silent_worker_is_called_eventually() {
    let fixture = PoolFixture::new();
    fixture.call_silent(WORKERS);
    drop(fixture.timeout_sender);
    let steps: Vec<_> = (0..2 * WORKERS)
        .map(|_| {
            fixture
                .steps
                .recv_timeout(STEP_TIMEOUT)
                .expect("a call is served")
        })
        .collect();
    for worker in 0..WORKERS {
        assert!(steps.contains(&CallStep::Answered(worker)));
    }
}
