//! Simulated worker of a cell.

use sapphirestile_cells::AttemptReport;
use sapphirestile_cells::AttemptStart;
use sapphirestile_cells::ReportedPhase;
use sapphirestile_cells::SessionRenewal;
use sapphirestile_core::ResourceSize;

use crate::fake_task::FakeTask;

/// A worker whose calls are answered immediately.
#[derive(Clone, Debug, Default)]
pub struct FakeWorker {
    pub permit: u64,
    pub tasks: Vec<FakeTask>,
}

impl FakeWorker {
    /// Renews the session and reports every attempt.
    pub fn renew(&mut self, request: &SessionRenewal, now: u64) -> Vec<AttemptReport> {
        self.permit += 1;
        let settled = |task: &FakeTask| {
            let mut settled = request.settled.iter();
            settled.any(|(name, attempt)| *name == task.task && *attempt == task.attempt)
        };
        self.tasks.retain(|task| !settled(task));
        let reports = self.tasks.iter().map(|task| AttemptReport {
            task: task.task.clone(),
            attempt: task.attempt,
            phase: if task.ends_ms <= now {
                ReportedPhase::Finished
            } else {
                ReportedPhase::Running
            },
            checkpoint_ms: 0,
            usage: ResourceSize::default(),
            throttle_cpu_milli: None,
        });
        reports.collect()
    }

    /// Starts an attempt if its permit is the latest.
    pub fn start(&mut self, request: &AttemptStart, now: u64) {
        if request.permit == self.permit {
            self.tasks.push(FakeTask {
                task: request.task.clone(),
                attempt: request.attempt,
                ends_ms: now + request.run_ms,
            });
        }
    }
}
