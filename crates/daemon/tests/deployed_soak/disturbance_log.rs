//! When the daemons were disturbed.

/// A long-running task that is not running has to run again this long after its last run,
/// in milliseconds, plus [`CALM_MS`], if all is calm.
const RESTART_BOUND_MS: u64 = 6_000;

/// How long it has to be calm before [`CALM_MS`], in milliseconds.
const CALM_BEFORE_MS: u64 = 4_000;

/// How long a long-running task may lack a run while all is calm, in milliseconds.
const CALM_MS: u64 = 3_000;

/// When the daemons were disturbed, on the clock of the fleet.
#[derive(Debug, Default)]
pub struct DisturbanceLog {
    /// In milliseconds, ascending.
    times_ms: Vec<u64>,
}

impl DisturbanceLog {
    /// Records a disturbance at `now_ms`, which is not before an earlier one.
    pub fn record(&mut self, now_ms: u64) {
        self.times_ms.push(now_ms);
    }

    /// When a task whose last run ended at `ended_ms` has to run again, in milliseconds.
    pub fn latest_start_ms(&self, ended_ms: u64) -> u64 {
        let mut calm_since_ms = 0;
        for time_ms in &self.times_ms {
            let latest_ms = latest_calm_start_ms(calm_since_ms, ended_ms);
            if latest_ms <= *time_ms {
                return latest_ms;
            }
            calm_since_ms = *time_ms;
        }
        latest_calm_start_ms(calm_since_ms, ended_ms)
    }
}

/// When a task whose last run ended at `ended_ms` has to run again, if it is calm from
/// `calm_since_ms` on.
fn latest_calm_start_ms(calm_since_ms: u64, ended_ms: u64) -> u64 {
    let counted_ms = (calm_since_ms + CALM_BEFORE_MS).max(ended_ms + RESTART_BOUND_MS);
    counted_ms + CALM_MS
}
