//! Measurement of the slowdown of requests on each runner of a service.

mod baseline_latency;
mod latency_window;
mod meter_record;

use sapphirestile_core::MonoTime;
use sapphirestile_core::RunnerName;
use sapphirestile_core::SortedTable;

use crate::RunnerRow;
use crate::RunnerSlowdown;

use baseline_latency::BaselineLatency;
use latency_window::LatencyWindow;
use meter_record::MeterRecord;

/// The fewest measured runners of a zone for which their median is used.
const PEERS_MIN: usize = 3;
/// A smaller excess over the baseline counts as no slowdown.
const EXCESS_MIN_US: u64 = 1_000;
const WHOLE_PERMILLE: u64 = 1_000;

/// Compares the latency of each runner of one service with its baseline latency.
///
/// The baseline is the higher of two latencies: a low quantile of the runner's own mean
/// latencies, and the median over the runners of its zone if at least three are
/// measured. With the first, a runner that is permanently slower than its peers does not
/// count as slowed down forever; with the second, a change of the load that slows all
/// runners counts for none. A runner is measured once it has at least 5 new answers; a
/// runner that has fewer after a minute starts over.
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
    /// Measures all runners of the service that had enough answers since their last
    /// measurement. Runners without a row are dropped.
    pub fn measure(&mut self, rows: &[&RunnerRow], now: MonoTime) -> Vec<RunnerSlowdown> {
        self.sync_records(rows, now);
        let medians = self.zone_medians(rows);
        let mut slowdowns = Vec::new();
        for row in rows {
            let median = medians.get(row.zone.as_str()).copied();
            slowdowns.extend(self.measure_one(row, median, now));
        }
        slowdowns
    }

    /// Adds records of new runners and removes those of runners without a row.
    fn sync_records(&mut self, rows: &[&RunnerRow], now: MonoTime) {
        let mut runners: Vec<&RunnerName> = rows.iter().map(|row| &row.runner).collect();
        runners.sort_unstable();
        self.records
            .retain(|runner, _| runners.binary_search(&runner).is_ok());
        for row in rows {
            let new_record = || MeterRecord {
                window: LatencyWindow::start(&row.gauge, now),
                baseline: None,
            };
            self.records
                .get_or_insert_with(row.runner.clone(), new_record);
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
            if window.has_expired(now) {
                record.window = LatencyWindow::start(&row.gauge, now);
            }
            return None;
        };
        record.window = LatencyWindow::start(&row.gauge, now);
        let initial = || BaselineLatency::new(mean_us, median_us);
        let baseline = record.baseline.get_or_insert_with(initial);
        baseline.update(mean_us);
        let baseline_us = baseline.get().max(median_us.unwrap_or(0));
        Some(RunnerSlowdown {
            runner: row.runner.clone(),
            slowdown_permille: slowdown_permille(mean_us, baseline_us),
            requests: window.requests(&row.gauge),
            since: window.since,
        })
    }

    /// The median over the mean latencies of the measured runners of each zone, in
    /// microseconds, for zones with at least [`PEERS_MIN`] of them.
    fn zone_medians<'t>(&self, rows: &[&'t RunnerRow]) -> SortedTable<&'t str, u64> {
        let mut zones = SortedTable::<&str, Vec<u64>>::new();
        for row in rows {
            let record = self.records.get(row.runner.as_str());
            let mean_us = record.and_then(|record| record.window.mean_us(&row.gauge));
            let means = zones.get_or_insert_with(row.zone.as_str(), Vec::new);
            means.extend(mean_us);
        }
        let measured = zones
            .iter_mut()
            .filter(|(_, means)| means.len() >= PEERS_MIN);
        let medians = measured.map(|(zone, means)| {
            means.sort_unstable();
            (*zone, means[(means.len() - 1) / 2])
        });
        medians.collect()
    }
}

fn slowdown_permille(mean_us: u64, baseline_us: u64) -> u64 {
    let excess_us = mean_us.saturating_sub(baseline_us);
    if excess_us < EXCESS_MIN_US {
        return 0;
    }
    excess_us.saturating_mul(WHOLE_PERMILLE) / baseline_us.max(1)
}
