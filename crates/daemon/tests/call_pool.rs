//! Calls to workers that answer, beside workers that do not.

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
/// Ends a scene that has gone wrong.
const PATIENCE: Duration = Duration::from_secs(30);

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallStep {
    Waits,
    Answered(u32),
}

/// A call to a worker; a silent one waits until its time is up.
struct SceneCall {
    worker: u32,
    time_up: Option<Receiver<()>>,
}

struct PoolScene {
    pool: CallPool<SceneCall>,
    steps: Receiver<CallStep>,
    time_up: Receiver<()>,
    /// Dropping it ends the time of all silent calls.
    clock: Sender<()>,
}

impl PoolScene {
    fn new() -> Self {
        let (told, steps) = unbounded();
        let (clock, time_up) = unbounded();
        let pool = CallPool::start(SIZES, move |call: SceneCall| {
            if let Some(time_up) = call.time_up {
                // The scene may have ended.
                let _told = told.send(CallStep::Waits);
                let _up = time_up.recv();
            }
            let _told = told.send(CallStep::Answered(call.worker));
        });
        Self {
            pool,
            steps,
            time_up,
            clock,
        }
    }

    fn call_silent(&self, workers: u32) {
        for worker in 0..workers {
            let time_up = Some(self.time_up.clone());
            let call = SceneCall { worker, time_up };
            self.pool.queue(WorkerReach::Silent, call);
        }
    }

    fn next(&self) -> CallStep {
        self.steps.recv_timeout(PATIENCE).expect("a call is served")
    }
}

#[test]
fn workers_that_answer_never_wait_behind_silent_ones() {
    let scene = PoolScene::new();
    scene.call_silent(WORKERS);
    for _ in 0..SIZES.silent {
        assert_eq!(scene.next(), CallStep::Waits);
    }
    for worker in 0..WORKERS {
        let call = SceneCall {
            worker,
            time_up: None,
        };
        scene.pool.queue(WorkerReach::Reachable, call);
    }
    let mut answered: Vec<_> = (0..WORKERS).map(|_| scene.next()).collect();
    answered.sort_by_key(|step| match step {
        CallStep::Waits => None,
        CallStep::Answered(worker) => Some(*worker),
    });
    let every: Vec<_> = (0..WORKERS).map(CallStep::Answered).collect();
    assert_eq!(answered, every);
    // No silent call but those of the silent part has a thread.
    assert!(scene.steps.is_empty());
}

#[test]
fn every_silent_worker_is_called_in_its_turn() {
    let scene = PoolScene::new();
    scene.call_silent(WORKERS);
    drop(scene.clock);
    let steps: Vec<_> = (0..2 * WORKERS)
        .map(|_| {
            scene
                .steps
                .recv_timeout(PATIENCE)
                .expect("a call is served")
        })
        .collect();
    for worker in 0..WORKERS {
        assert!(steps.contains(&CallStep::Answered(worker)));
    }
}
