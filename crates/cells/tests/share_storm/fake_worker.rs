//! The one worker of a cell.

use sapphirestile_cells::SessionOrder;
use sapphirestile_cells::SightedPhase;
use sapphirestile_cells::StartOrder;
use sapphirestile_cells::TaskSighting;
use sapphirestile_core::ResourceSize;

use crate::fake_task::FakeTask;

/// A worker whose calls are answered at once.
#[derive(Clone, Debug, Default)]
pub struct FakeWorker {
    pub permit: u64,
    pub tasks: Vec<FakeTask>,
}

impl FakeWorker {
    /// Renews the session and shows every attempt.
    pub fn renew(&mut self, order: &SessionOrder, now: u64) -> Vec<TaskSighting> {
        self.permit += 1;
        let settled = |task: &FakeTask| {
            let mut settled = order.settled.iter();
            settled.any(|(name, attempt)| *name == task.task && *attempt == task.attempt)
        };
        self.tasks.retain(|task| !settled(task));
        let sightings = self.tasks.iter().map(|task| TaskSighting {
            task: task.task.clone(),
            attempt: task.attempt,
            phase: if task.ends <= now {
                SightedPhase::Finished
            } else {
                SightedPhase::Running
            },
            checkpoint_ms: 0,
            usage: ResourceSize::default(),
            throttle_cpu_milli: None,
        });
        sightings.collect()
    }

    /// Starts an attempt unless its permit is void.
    pub fn start(&mut self, order: &StartOrder, now: u64) {
        if order.permit == self.permit {
            self.tasks.push(FakeTask {
                task: order.task.clone(),
                attempt: order.attempt,
                ends: now + order.run_ms,
            });
        }
    }
}
