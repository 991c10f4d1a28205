//! Doubt about connections to a peer that has left a call unanswered.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// How far back a call that waited long casts doubt. The peer may hold the answer to such a
/// call, so a connection that it has answered on meanwhile may have failed since.
const DOUBT_MAX: Duration = Duration::from_millis(900);

/// The time since which answers from a peer count, after a call to it had none.
///
/// Connections can fail without being closed, all that are open at once, while new ones work.
/// One call without an answer is therefore taken as evidence against every connection that
/// has not answered since.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
///
/// use sapphirestile_clients::http::SilenceMark;
///
/// let mark = SilenceMark::new();
/// let answered = Instant::now();
/// assert!(!mark.casts_doubt_on(answered));
/// let started = Instant::now();
/// mark.record(started, Instant::now());
/// assert!(mark.casts_doubt_on(answered));
/// assert!(!mark.casts_doubt_on(Instant::now()));
/// ```
#[derive(Debug)]
pub struct SilenceMark {
    created: Instant,
    /// The time as nanoseconds after `created`; 0 while every call has been answered.
    since_nanos: AtomicU64,
}

impl SilenceMark {
    /// Creates the mark of a peer that has left no call unanswered.
    #[must_use]
    pub fn new() -> Self {
        Self {
            created: Instant::now(),
            since_nanos: AtomicU64::new(0),
        }
    }

    /// Records that a call had no answer.
    pub fn record(&self, started: Instant, ended: Instant) {
        let since = ended
            .checked_sub(DOUBT_MAX)
            .map_or(started, |recent| recent.max(started));
        self.since_nanos
            .fetch_max(self.nanos(since), Ordering::AcqRel);
    }

    /// Whether a connection that last answered at this time may have failed.
    #[must_use]
    pub fn casts_doubt_on(&self, answered: Instant) -> bool {
        self.nanos(answered) < self.since_nanos.load(Ordering::Acquire)
    }

    fn nanos(&self, time: Instant) -> u64 {
        let nanos = time.saturating_duration_since(self.created).as_nanos();
        u64::try_from(nanos).unwrap_or(u64::MAX)
    }
}

impl Default for SilenceMark {
    fn default() -> Self {
        Self::new()
    }
}
