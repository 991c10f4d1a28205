//! The requests beside one worker.

use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;
use sapphirestile_routing::RunnerSlowdown;
use sapphirestile_wire::peer::WorkerSlowdown;

/// The measurements of all runners beside one worker, weighed by their requests.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_core::RunnerName;
/// use sapphirestile_core::WorkerName;
/// use sapphirestile_daemon::colocation::WorkerSum;
/// use sapphirestile_routing::RunnerSlowdown;
///
/// let slowdown = |permille, requests| RunnerSlowdown {
///     runner: RunnerName::try_from("runner-1").unwrap(),
///     slowdown_permille: permille,
///     requests,
///     since: MonoTime::from_millis(2_000),
/// };
/// let mut sum = WorkerSum::default();
/// sum.add(&slowdown(400, 30));
/// sum.add(&slowdown(0, 10));
/// let worker = WorkerName::try_from("worker-1").unwrap();
/// let row = sum.row(&worker, MonoTime::from_millis(7_000));
/// assert_eq!((row.slowdown_permille, row.requests, row.age_ms), (300, 40, 5_000));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkerSum {
    weighed_permille: u64,
    requests: u64,
    since: Option<MonoTime>,
}

impl WorkerSum {
    /// Adds the measurement of one runner.
    pub fn add(&mut self, slowdown: &RunnerSlowdown) {
        let weighed = slowdown.slowdown_permille.saturating_mul(slowdown.requests);
        self.weighed_permille = self.weighed_permille.saturating_add(weighed);
        self.requests += slowdown.requests;
        let since = self.since.unwrap_or(slowdown.since);
        self.since = Some(since.min(slowdown.since));
    }

    /// What is told of `worker` at `now`.
    #[must_use]
    pub fn row(&self, worker: &WorkerName, now: MonoTime) -> WorkerSlowdown {
        let permille = self.weighed_permille / self.requests.max(1);
        let age_ms = self.since.map_or(0, |since| now.millis_since(since));
        WorkerSlowdown {
            worker: worker.clone(),
            slowdown_permille: u32::try_from(permille).unwrap_or(u32::MAX),
            requests: u32::try_from(self.requests).unwrap_or(u32::MAX),
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
        }
    }
}
