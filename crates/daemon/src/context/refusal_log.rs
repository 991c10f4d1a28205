//! The latest requests of callers that were refused.

use std::sync::Arc;

use crate::callers::CallerRefusal;
use crate::context::RcuValue;
use crate::context::RefusalRecord;
use sapphirestile_core::MonoTime;

/// The number of records that are kept.
const RECORDS_MAX: usize = 64;
/// The length to which the path of a request is cut, in characters.
const PATH_MAX_CHARS: usize = 128;

/// The latest requests of callers that were refused.
///
/// Reading takes no lock, so that a dump never waits; concurrent refusals are recorded
/// one after the other.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_daemon::callers::CallerReply;
/// use sapphirestile_daemon::context::RefusalLog;
///
/// let log = RefusalLog::default();
/// let refusal = CallerReply::TooLarge.into_response().unwrap_err();
/// log.record(MonoTime::from_millis(7), "/sizing/fit", refusal);
/// let records = log.records();
/// assert_eq!(records[0].path, "/sizing/fit");
/// assert_eq!(records[0].refusal.status, 413);
/// assert_eq!(log.records(), records);
/// ```
#[derive(Debug)]
pub struct RefusalLog {
    /// In the order in which they were refused.
    records: RcuValue<Vec<Arc<RefusalRecord>>>,
}

impl Default for RefusalLog {
    fn default() -> Self {
        Self {
            records: RcuValue::new(Vec::new()),
        }
    }
}

impl RefusalLog {
    /// Records a refused request in place of the earliest one when the log is full.
    pub fn record(&self, at: MonoTime, path: &str, refusal: CallerRefusal) {
        let path = path.chars().take(PATH_MAX_CHARS).collect();
        let record = Arc::new(RefusalRecord { at, path, refusal });
        self.records.update(|records| {
            let first = (records.len() + 1).saturating_sub(RECORDS_MAX);
            let kept = records[first..].iter().chain(std::iter::once(&record));
            kept.cloned().collect::<Vec<_>>()
        });
    }

    /// The records in the order in which the requests were refused.
    #[must_use]
    pub fn records(&self) -> Vec<RefusalRecord> {
        let records = self.records.load();
        records
            .iter()
            .map(|record| record.as_ref().clone())
            .collect()
    }
}
