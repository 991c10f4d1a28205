//! The measurements beside one worker.

use crate::pressure::CombinedSlowdown;
use crate::pressure::MessageOrder;
use crate::pressure::SampleRow;
use crate::pressure::SlowdownView;
use sapphirestile_core::DaemonName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;

/// A daemon that was not heard of for this long has no say any more.
const SAMPLE_AGE_MAX_MS: u64 = 60_000;

/// The latest measurement of each daemon beside one worker.
///
/// # Examples
///
/// ```
/// use sapphirestile_cells::WorkerSamples;
/// use sapphirestile_core::MonoTime;
///
/// let samples = WorkerSamples::default();
/// let begin = MonoTime::from_millis(0);
/// assert_eq!(samples.combine(begin, begin), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct WorkerSamples {
    rows: SortedTable<DaemonName, SampleRow>,
}

impl WorkerSamples {
    /// Takes a measurement in; false when it came twice or was overtaken.
    pub fn note(&mut self, view: &SlowdownView<'_>) -> bool {
        let order = MessageOrder {
            incarnation: view.daemon.incarnation,
            call: view.call,
        };
        let known = self.rows.get(view.daemon.daemon.as_str());
        if known.is_some_and(|row| row.order >= order) {
            return false;
        }
        let row = SampleRow {
            order,
            received: view.received,
            measured: view.measured,
            slowdown_permille: view.slowdown_permille,
            requests: view.requests,
        };
        self.rows.insert(view.daemon.daemon.clone(), row);
        true
    }

    /// The measurements that began after `after`, weighed by their requests.
    #[must_use]
    pub fn combine(&self, after: MonoTime, now: MonoTime) -> Option<CombinedSlowdown> {
        let counts = |row: &&SampleRow| {
            row.measured > after && now.millis_since(row.received) <= SAMPLE_AGE_MAX_MS
        };
        let rows: Vec<&SampleRow> = self.rows.values().filter(counts).collect();
        let measured = rows.iter().map(|row| row.measured).min()?;
        let weigh = |row: &&SampleRow| row.slowdown_permille.saturating_mul(row.requests);
        let weighed: u64 = rows.iter().map(weigh).fold(0, u64::saturating_add);
        let requests: u64 = rows.iter().map(|row| row.requests).sum();
        Some(CombinedSlowdown {
            measured,
            slowdown_permille: weighed / requests.max(1),
            requests,
            daemons: u32::try_from(rows.len()).unwrap_or(u32::MAX),
        })
    }
}
