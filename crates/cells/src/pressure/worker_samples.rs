//! Measurements next to one worker.

use crate::pressure::CombinedSlowdown;
use crate::pressure::DaemonSample;
use crate::pressure::MessageSequence;
use crate::pressure::SlowdownView;
use sapphirestile_core::DaemonName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;

/// A measurement received longer ago than this is ignored.
const SAMPLE_AGE_MAX_MS: u64 = 60_000;

/// The latest measurement of each daemon next to one worker.
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
    samples: SortedTable<DaemonName, DaemonSample>,
}

impl WorkerSamples {
    /// Records a measurement; false when the message is late or repeated.
    pub fn record(&mut self, view: &SlowdownView<'_>) -> bool {
        let sequence = MessageSequence {
            incarnation: view.daemon.incarnation,
            call: view.call,
        };
        let known = self.samples.get(view.daemon.daemon.as_str());
        if known.is_some_and(|sample| sample.sequence >= sequence) {
            return false;
        }
        let sample = DaemonSample {
            sequence,
            received: view.received,
            measured: view.measured,
            slowdown_permille: view.slowdown_permille,
            requests: view.requests,
        };
        self.samples.insert(view.daemon.daemon.clone(), sample);
        true
    }

    /// Combines the measurements that began after `after`, weighted by their requests;
    /// `None` when there are none.
    #[must_use]
    pub fn combine(&self, after: MonoTime, now: MonoTime) -> Option<CombinedSlowdown> {
        let counts = |sample: &&DaemonSample| {
            sample.measured > after && now.millis_since(sample.received) <= SAMPLE_AGE_MAX_MS
        };
        let samples: Vec<&DaemonSample> = self.samples.values().filter(counts).collect();
        let measured = samples.iter().map(|sample| sample.measured).min()?;
        let weigh =
            |sample: &&DaemonSample| sample.slowdown_permille.saturating_mul(sample.requests);
        let weighed: u64 = samples.iter().map(weigh).fold(0, u64::saturating_add);
        let requests: u64 = samples.iter().map(|sample| sample.requests).sum();
        Some(CombinedSlowdown {
            measured,
            slowdown_permille: weighed / requests.max(1),
            requests,
            daemons: u32::try_from(samples.len()).unwrap_or(u32::MAX),
        })
    }
}
