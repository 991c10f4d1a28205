//! Time without a run of a long-running task.

use std::collections::BTreeMap;

use sapphirestile_platform_standins::LongRun;
use sapphirestile_platform_standins::RunEnd;

/// The time from the end of a run of a long-running task to the start of its next.
#[derive(Clone, Debug)]
pub struct LongRunGap {
    pub task: String,
    /// The worker of the run that ended.
    pub worker: String,
    pub end: RunEnd,
    /// The worker of the next run.
    pub next_worker: String,
    /// When the next run started, on the clock of the fleet, in milliseconds.
    pub started_ms: u64,
}

impl LongRunGap {
    /// The gaps of all tasks, by task and in the order of their times.
    pub fn list(runs: &[LongRun]) -> Vec<Self> {
        let mut tasks: BTreeMap<&str, Vec<&LongRun>> = BTreeMap::new();
        for run in runs {
            tasks.entry(&run.task).or_default().push(run);
        }
        let mut gaps = Vec::new();
        for runs in tasks.values_mut() {
            runs.sort_by_key(|run| run.started_ms);
            gaps.extend(runs.windows(2).filter_map(Self::between));
        }
        gaps
    }

    /// The gap between two runs of a task; `None` when the first has not ended.
    fn between(pair: &[&LongRun]) -> Option<Self> {
        let [run, next] = pair else {
            return None;
        };
        Some(Self {
            task: run.task.clone(),
            worker: run.worker.clone(),
            end: run.end?,
            next_worker: next.worker.clone(),
            started_ms: next.started_ms,
        })
    }

    pub const fn length_ms(&self) -> u64 {
        self.started_ms.saturating_sub(self.end.ended_ms)
    }
}
