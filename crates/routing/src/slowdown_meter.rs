//! By how much the requests of a service are slowed on each runner.

mod latency_window;
mod meter_record;
mod undisturbed_level;

use sapphirestile_core::MonoTime;
use sapphirestile_core::RunnerName;
use sapphirestile_core::SortedTable;

use crate::RunnerRow;
use crate::RunnerSlowdown;

use latency_window::LatencyWindow;
use meter_record::MeterRecord;
use undisturbed_level::UndisturbedLevel;

/// Below this many measured runners of a zone their median says nothing.
const PEERS_MIN: usize = 3;
/// Requests are not slowed by less than this, in microseconds.
const EXCESS_MIN_US: u64 = 1_000;
const WHOLE_PERMILLE: u64 = 1_000;

/// Compares the latency of each runner of one service with its undisturbed level.
///
/// Undisturbed is the higher of two: a low quantile of the runner's own latency,
/// and the median of the zone's runners, once three are measured. So a runner
/// that is slower than its peers for good is not slowed for good, and a shift of
/// the load, which slows all, slows none. A runner is measured over its latest
/// answers, however long they took to come, up to a minute.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_routing::SlowdownMeter;
///
/// let mut meter = SlowdownMeter::default();
/// assert_eq!(meter.measure(&[], MonoTime::from_millis(0)), []);
/// ```
#[derive(Debug, Default)]
pub struct SlowdownMeter {
    records: SortedTable<RunnerName, MeterRecord>,
}

impl SlowdownMeter {
    /// Measures all runners of the service that had enough answers since they were
    /// last measured.
    pub fn measure(&mut self, rows: &[&RunnerRow], now: MonoTime) -> Vec<RunnerSlowdown> {
        self.keep(rows, now);
        let medians = self.zone_medians(rows);
        let mut slowdowns = Vec::new();
        for row in rows {
            let median = medians.get(row.zone.as_str()).copied();
            slowdowns.extend(self.measure_one(row, median, now));
        }
        slowdowns
    }

    /// Begins windows for new runners and forgets those that are gone.
    fn keep(&mut self, rows: &[&RunnerRow], now: MonoTime) {
        let mut runners: Vec<&RunnerName> = rows.iter().map(|row| &row.runner).collect();
        runners.sort_unstable();
        self.records
            .retain(|runner, _| runners.binary_search(&runner).is_ok());
        for row in rows {
            let fresh = || MeterRecord {
                window: LatencyWindow::begin(&row.gauge, now),
                level: None,
            };
            self.records.get_or_insert_with(row.runner.clone(), fresh);
        }
    }

    fn measure_one(
        &mut self,
        row: &RunnerRow,
        median_us: Option<u64>,
        now: MonoTime,
    ) -> Option<RunnerSlowdown> {
        let record = self.records.get_mut(row.runner.as_str())?;
        let window = record.window;
        let Some(mean_us) = window.mean_us(&row.gauge) else {
            if window.has_lapsed(now) {
                record.window = LatencyWindow::begin(&row.gauge, now);
            }
            return None;
        };
        record.window = LatencyWindow::begin(&row.gauge, now);
        let first = || UndisturbedLevel::begin(mean_us, median_us);
        let level = record.level.get_or_insert_with(first);
        level.follow(mean_us);
        let undisturbed_us = level.get().max(median_us.unwrap_or(0));
        Some(RunnerSlowdown {
            runner: row.runner.clone(),
            slowdown_permille: slowdown(mean_us, undisturbed_us),
            requests: window.requests(&row.gauge),
            since: window.since,
        })
    }

    /// The median of the mean latencies of each zone, where enough are measured.
    fn zone_medians<'t>(&self, rows: &[&'t RunnerRow]) -> SortedTable<&'t str, u64> {
        let mut zones = SortedTable::<&str, Vec<u64>>::new();
        for row in rows {
            let record = self.records.get(row.runner.as_str());
            let mean_us = record.and_then(|record| record.window.mean_us(&row.gauge));
            let means = zones.get_or_insert_with(row.zone.as_str(), Vec::new);
            means.extend(mean_us);
        }
        let known = zones
            .iter_mut()
            .filter(|(_, means)| means.len() >= PEERS_MIN);
        let medians = known.map(|(zone, means)| {
            means.sort_unstable();
            (*zone, means[(means.len() - 1) / 2])
        });
        medians.collect()
    }
}

fn slowdown(mean_us: u64, undisturbed_us: u64) -> u64 {
    let excess_us = mean_us.saturating_sub(undisturbed_us);
    if excess_us < EXCESS_MIN_US {
        return 0;
    }
    excess_us.saturating_mul(WHOLE_PERMILLE) / undisturbed_us.max(1)
}
