//! Detection of times in which the process did not run.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use sapphirestile_core::MonoTime;

/// Time without a tick that counts as a pause of the process, in milliseconds.
const PAUSE_MIN_MS: u64 = 1_000;

/// Time after a pause within which a request that is read may have arrived during it, in
/// milliseconds.
const BACKLOG_MS: u64 = 500;

/// Detects that the process was suspended, so that requests which it reads afterwards may have
/// waited at its sockets for as long.
///
/// [`tick`](Self::tick) is to be called every few hundred milliseconds.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_serving::PauseWatch;
///
/// let watch = PauseWatch::default();
/// watch.tick(MonoTime::from_millis(1_000));
/// let woken = MonoTime::from_millis(5_000);
/// assert_eq!(watch.earliest_arrival(woken), MonoTime::from_millis(1_000));
/// let later = MonoTime::from_millis(5_600);
/// watch.tick(woken);
/// assert_eq!(watch.earliest_arrival(later), later);
/// ```
#[derive(Debug, Default)]
pub struct PauseWatch {
    /// When the process last ticked, in milliseconds; 0 before the first tick.
    ticked: AtomicU64,
    /// The last tick before the latest pause, in milliseconds.
    paused: AtomicU64,
    /// The first tick after the latest pause, in milliseconds; 0 if there was none.
    resumed: AtomicU64,
}

impl PauseWatch {
    /// Records that the process runs at `now`. Returns how long it was paused before, in
    /// milliseconds; `None` if it was not.
    pub fn tick(&self, now: MonoTime) -> Option<u64> {
        let now_ms = now.as_millis();
        let before_ms = self.ticked.load(Ordering::Acquire);
        let gap_ms = now_ms.saturating_sub(before_ms);
        let is_paused = before_ms > 0 && gap_ms >= PAUSE_MIN_MS;
        if is_paused {
            self.paused.store(before_ms, Ordering::Release);
            self.resumed.store(now_ms, Ordering::Release);
        }
        // Stored last: until then the gap itself shows the pause.
        self.ticked.store(now_ms, Ordering::Release);
        is_paused.then_some(gap_ms)
    }

    /// The earliest time at which a request that is read at `now` may have arrived: `now`, or
    /// the start of a pause that has just ended.
    #[must_use]
    pub fn earliest_arrival(&self, now: MonoTime) -> MonoTime {
        let now_ms = now.as_millis();
        let ticked_ms = self.ticked.load(Ordering::Acquire);
        if ticked_ms > 0 && now_ms.saturating_sub(ticked_ms) >= PAUSE_MIN_MS {
            return MonoTime::from_millis(ticked_ms);
        }
        let resumed_ms = self.resumed.load(Ordering::Acquire);
        if resumed_ms > 0 && now_ms.saturating_sub(resumed_ms) < BACKLOG_MS {
            return MonoTime::from_millis(self.paused.load(Ordering::Acquire));
        }
        now
    }
}
