//! Temporary ejection of slow and failing runners.

mod ejection_record;
mod ejection_state;

use sapphirestile_core::MonoTime;
use sapphirestile_core::RunnerName;
use sapphirestile_core::SortedTable;

use crate::RunnerRow;
use crate::RunnerState;

use ejection_record::EjectionRecord;
use ejection_state::EjectionState;

/// A runner with this many consecutive failures is ejected.
const FAILURES_MAX: u32 = 5;
/// A runner is slow above this many times the median latency of its zone.
const SLOW_FACTOR: u64 = 3;
/// The latency of a slow runner also exceeds the median by more than this.
const SLOW_EXCESS_US: u64 = 10_000;
const EJECTED_PERCENT_MAX: usize = 30;
const EJECTION_MS: u64 = 5_000;
const EJECTION_DOUBLINGS_MAX: u32 = 5;
/// A trial without a failure ends after this many answers.
const TRIAL_ANSWERS: u64 = 5;
const PERCENT: usize = 100;

/// Ejects slow and failing runners of one service and readmits them after a trial.
///
/// A runner fails when five requests in a row got no complete answer. It is slow when its
/// latency is more than three times the median of its own zone and exceeds it by more
/// than 10 ms. The comparison within a zone keeps the latency of the link between regions
/// from making remote runners look slow. At most [30 %](Self::evaluate) of the runners are
/// ejected or on trial. A runner is on trial after its ejection time, which doubles with
/// each consecutive ejection. The latency of a runner that answered nothing since the last
/// evaluation is moved towards the median, because load balancing by latency would not
/// choose the runner again otherwise.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_routing::EjectionPolicy;
///
/// let mut policy = EjectionPolicy::default();
/// policy.evaluate(&[], MonoTime::from_millis(0));
/// assert_eq!(policy.ejected(), 0);
/// ```
#[derive(Debug, Default)]
pub struct EjectionPolicy {
    records: SortedTable<RunnerName, EjectionRecord>,
}

impl EjectionPolicy {
    /// Evaluates all runners of the service by their gauges and sets the state of each.
    /// At most 30 % of them, rounded down, are ejected or on trial.
    pub fn evaluate(&mut self, rows: &[&RunnerRow], now: MonoTime) {
        let mut runners = rows.iter().map(|row| &row.runner).collect::<Vec<_>>();
        runners.sort_unstable();
        self.records
            .retain(|runner, _| runners.binary_search(&runner).is_ok());
        let medians = zone_medians(rows);
        let median = |row: &RunnerRow| medians.get(row.zone.as_str()).copied().unwrap_or(0);
        for row in rows {
            if row.gauge.take_new_answers() == 0 {
                row.gauge.decay_latency(median(row));
            }
            if let Some(record) = self.records.get_mut(row.runner.as_str()) {
                update_record(record, row, median(row), now);
            }
        }
        self.records
            .retain(|_, record| record.state != EjectionState::Recovered);
        let max = rows.len() * EJECTED_PERCENT_MAX / PERCENT;
        for row in worst_first(rows, &median) {
            if self.records.len() >= max {
                return;
            }
            let record = EjectionRecord::new(now.plus_millis(EJECTION_MS));
            row.gauge.set_state(RunnerState::Ejected);
            self.records.insert(row.runner.clone(), record);
        }
    }

    /// The number of runners that are ejected or on trial.
    #[must_use]
    pub fn ejected(&self) -> usize {
        self.records.len()
    }
}

fn update_record(record: &mut EjectionRecord, row: &RunnerRow, median: u64, now: MonoTime) {
    match record.state {
        EjectionState::Ejected { until } if now >= until => {
            row.gauge.reset_observations(median);
            row.gauge.set_state(RunnerState::Trial);
            let answers = row.gauge.answers();
            record.state = EjectionState::Trial { answers };
        }
        EjectionState::Trial { answers } => {
            let answered = row.gauge.answers() - answers;
            if row.gauge.failures() > 0 || answered >= TRIAL_ANSWERS && is_slow(row, median) {
                eject_again(record, row, now);
            } else if answered >= TRIAL_ANSWERS {
                row.gauge.set_state(RunnerState::Open);
                record.state = EjectionState::Recovered;
            }
        }
        EjectionState::Ejected { .. } | EjectionState::Recovered => {}
    }
}

fn eject_again(record: &mut EjectionRecord, row: &RunnerRow, now: MonoTime) {
    record.doublings = (record.doublings + 1).min(EJECTION_DOUBLINGS_MAX);
    let until = now.plus_millis(EJECTION_MS << record.doublings);
    record.state = EjectionState::Ejected { until };
    row.gauge.set_state(RunnerState::Ejected);
}

/// The open runners that should be ejected: failing runners first, then slow ones, each
/// by descending latency.
fn worst_first<'t>(
    rows: &[&'t RunnerRow],
    median: &impl Fn(&RunnerRow) -> u64,
) -> Vec<&'t RunnerRow> {
    let should_eject = |row: &&&RunnerRow| {
        let open = row.gauge.state() == RunnerState::Open;
        open && (is_failing(row) || is_slow(row, median(row)))
    };
    let mut worst = rows
        .iter()
        .filter(should_eject)
        .copied()
        .collect::<Vec<_>>();
    worst.sort_by_key(|row| (is_failing(row), row.gauge.latency_us()));
    worst.reverse();
    worst
}

fn is_failing(row: &RunnerRow) -> bool {
    row.gauge.failures() >= FAILURES_MAX
}

fn is_slow(row: &RunnerRow, median: u64) -> bool {
    let latency = row.gauge.latency_us();
    median > 0 && latency > median * SLOW_FACTOR && latency > median + SLOW_EXCESS_US
}

/// The median latency of the open runners of each zone, in microseconds.
fn zone_medians<'t>(rows: &[&'t RunnerRow]) -> SortedTable<&'t str, u64> {
    let mut latencies = SortedTable::<&str, Vec<u64>>::new();
    for row in rows {
        let observed = row.gauge.latency_us() > 0;
        if observed && row.gauge.state() == RunnerState::Open {
            let zone = latencies.get_or_insert_with(row.zone.as_str(), Vec::new);
            zone.push(row.gauge.latency_us());
        }
    }
    let medians = latencies.iter_mut().map(|(zone, latencies)| {
        latencies.sort_unstable();
        (*zone, latencies[latencies.len() / 2])
    });
    medians.collect()
}
