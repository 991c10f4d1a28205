//! The combined slowdown of requests next to one worker.

use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;
use sapphirestile_routing::RunnerSlowdown;
use sapphirestile_wire::peer::WorkerSlowdown;

/// The mean slowdown of all runners that share a machine with one worker, weighted by their
/// numbers of requests.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_core::RunnerName;
/// use sapphirestile_core::WorkerName;
/// use sapphirestile_daemon::colocation::SlowdownSum;
/// use sapphirestile_routing::RunnerSlowdown;
///
/// let slowdown = |permille, requests| RunnerSlowdown {
///     runner: RunnerName::try_from("runner-1").unwrap(),
///     slowdown_permille: permille,
///     requests,
///     since: MonoTime::from_millis(2_000),
/// };
/// let mut sum = SlowdownSum::default();
/// sum.add(&slowdown(400, 30));
/// sum.add(&slowdown(0, 10));
/// let worker = WorkerName::try_from("worker-1").unwrap();
/// let row = sum.row(&worker, MonoTime::from_millis(7_000));
/// assert_eq!((row.slowdown_permille, row.requests, row.age_ms), (300, 40, 5_000));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowdownSum {
    weighted_permille: u64,
    requests: u64,
    /// The earliest start of the combined measurements.
    since: Option<MonoTime>,
}

impl SlowdownSum {
    /// Adds the measurement of one runner.
    pub fn add(&mut self, slowdown: &RunnerSlowdown) {
        let weighted = slowdown.slowdown_permille.saturating_mul(slowdown.requests);
        self.weighted_permille = self.weighted_permille.saturating_add(weighted);
        self.requests += slowdown.requests;
        let since = self.since.unwrap_or(slowdown.since);
        self.since = Some(since.min(slowdown.since));
    }

    /// The combined slowdown, reported for `worker` at `now`. Its age is that of the earliest
    /// measurement; its slowdown is 0 when there were no requests.
    #[must_use]
    pub fn row(&self, worker: &WorkerName, now: MonoTime) -> WorkerSlowdown {
        let permille = self.weighted_permille / self.requests.max(1);
        let age_ms = self.since.map_or(0, |since| now.millis_since(since));
        WorkerSlowdown {
            worker: worker.clone(),
            slowdown_permille: u32::try_from(permille).unwrap_or(u32::MAX),
            requests: u32::try_from(self.requests).unwrap_or(u32::MAX),
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
        }
    }
}
