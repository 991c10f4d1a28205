//! What a daemon counts and observes of one runner.

use crate::RunnerStanding;
use crate::sync::AtomicU32;
use crate::sync::AtomicU64;
use crate::sync::Ordering;

const TOKEN_SHIFT: u32 = 32;
const IN_FLIGHT_MASK: u64 = 0xffff_ffff;
const SMOOTHING_DIVISOR: u64 = 8;
const AGING_DIVISOR: u64 = 8;

/// The tokens, the requests in flight and the observations of one runner.
///
/// Tokens and requests in flight share one atomic word, so that a slot is taken
/// only below the tokens of the same instant, and a token leaves only while it
/// is free. In flight never exceeds the tokens held.
///
/// # Examples
///
/// ```
/// use sapphirestile_routing::RunnerGauge;
///
/// let gauge = RunnerGauge::new();
/// gauge.add_tokens(2);
/// assert!(gauge.take_slot());
/// assert_eq!(gauge.remove_free_tokens(5), 1);
/// assert!(!gauge.take_slot());
/// gauge.release_slot();
/// assert_eq!((gauge.tokens(), gauge.in_flight()), (1, 0));
/// ```
#[derive(Debug)]
#[repr(align(128))]
pub struct RunnerGauge {
    /// Tokens in the upper half, requests in flight in the lower half.
    slots: AtomicU64,
    latency_us: AtomicU64,
    /// The latencies of all whole answers together, wrapping around.
    latency_sum_us: AtomicU64,
    failures: AtomicU32,
    answers: AtomicU64,
    judged_answers: AtomicU64,
    standing: AtomicU32,
}

impl Default for RunnerGauge {
    fn default() -> Self {
        Self::new()
    }
}

impl RunnerGauge {
    /// A gauge without tokens and observations.
    #[must_use]
    pub fn new() -> Self {
        Self {
            slots: AtomicU64::new(0),
            latency_us: AtomicU64::new(0),
            latency_sum_us: AtomicU64::new(0),
            failures: AtomicU32::new(0),
            answers: AtomicU64::new(0),
            judged_answers: AtomicU64::new(0),
            standing: AtomicU32::new(RunnerStanding::Open as u32),
        }
    }

    /// The tokens held.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        tokens_of(self.slots.load(Ordering::Acquire))
    }

    /// The requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        in_flight_of(self.slots.load(Ordering::Acquire))
    }

    /// Tokens held and requests in flight at one instant.
    #[must_use]
    pub fn occupancy(&self) -> (u32, u32) {
        let word = self.slots.load(Ordering::Acquire);
        (tokens_of(word), in_flight_of(word))
    }

    /// Takes one slot; false when no token is free.
    ///
    /// The caller gives it back by [`Self::release_slot`]. On a request's path a
    /// [`SlotGuard`](crate::SlotGuard) does both.
    #[must_use]
    pub fn take_slot(&self) -> bool {
        let mut word = self.slots.load(Ordering::Relaxed);
        loop {
            if in_flight_of(word) >= tokens_of(word) {
                return false;
            }
            let taken = self.slots.compare_exchange_weak(
                word,
                word + 1,
                Ordering::AcqRel,
                Ordering::Relaxed,
            );
            match taken {
                Ok(_) => return true,
                Err(current) => word = current,
            }
        }
    }

    /// Gives one slot back.
    ///
    /// # Panics
    ///
    /// When no slot was taken.
    pub fn release_slot(&self) {
        let before = self.slots.fetch_sub(1, Ordering::AcqRel);
        let in_flight = in_flight_of(before);
        assert!(in_flight > 0, "a slot was given back that nobody took");
        assert!(
            in_flight <= tokens_of(before),
            "more requests in flight than tokens held"
        );
    }

    /// Adds tokens that this daemon received or was granted.
    ///
    /// # Panics
    ///
    /// When the tokens no longer fit into their counter.
    pub fn add_tokens(&self, count: u32) {
        let added = u64::from(count) << TOKEN_SHIFT;
        let before = self.slots.fetch_add(added, Ordering::AcqRel);
        assert!(
            tokens_of(before).checked_add(count).is_some(),
            "the tokens of a runner overflowed"
        );
    }

    /// Takes up to `most` free tokens out and returns how many left.
    ///
    /// Tokens with a request in flight stay.
    #[must_use]
    pub fn remove_free_tokens(&self, most: u32) -> u32 {
        let mut word = self.slots.load(Ordering::Relaxed);
        loop {
            let free = tokens_of(word) - in_flight_of(word);
            let count = free.min(most);
            if count == 0 {
                return 0;
            }
            let rest = word - (u64::from(count) << TOKEN_SHIFT);
            let removed =
                self.slots
                    .compare_exchange_weak(word, rest, Ordering::AcqRel, Ordering::Relaxed);
            match removed {
                Ok(_) => return count,
                Err(current) => word = current,
            }
        }
    }

    /// Notes a whole answer that took `latency_us` microseconds.
    pub fn record_answer(&self, latency_us: u64) {
        self.failures.store(0, Ordering::Relaxed);
        self.answers.fetch_add(1, Ordering::Relaxed);
        self.latency_sum_us.fetch_add(latency_us, Ordering::Relaxed);
        let before = self.latency_us.load(Ordering::Relaxed);
        // A lost update between two threads costs one sample of many.
        self.latency_us
            .store(smooth(before, latency_us), Ordering::Relaxed);
    }

    /// Notes a request without a whole answer.
    pub fn record_failure(&self) {
        self.failures.fetch_add(1, Ordering::Relaxed);
    }

    /// The smoothed latency in microseconds; 0 before the first answer.
    #[must_use]
    pub fn latency_us(&self) -> u64 {
        self.latency_us.load(Ordering::Relaxed)
    }

    /// How many requests in a row had no whole answer.
    #[must_use]
    pub fn failures(&self) -> u32 {
        self.failures.load(Ordering::Relaxed)
    }

    /// How many whole answers were observed.
    #[must_use]
    pub fn answers(&self) -> u64 {
        self.answers.load(Ordering::Relaxed)
    }

    /// The latencies of all whole answers together, in microseconds, wrapping
    /// around. A difference of two readings is the latency of the answers between
    /// them, but for those observed during a reading.
    #[must_use]
    pub fn latency_sum_us(&self) -> u64 {
        self.latency_sum_us.load(Ordering::Relaxed)
    }

    /// How many whole answers were observed since the last call. Called by one
    /// thread.
    pub(crate) fn take_fresh_answers(&self) -> u64 {
        let answers = self.answers();
        answers - self.judged_answers.swap(answers, Ordering::Relaxed)
    }

    /// Moves the smoothed latency a step down towards `floor_us` microseconds,
    /// since nothing newer was observed.
    pub(crate) fn age_latency(&self, floor_us: u64) {
        let latency = self.latency_us();
        let excess = latency.saturating_sub(floor_us);
        let aged = latency - excess.div_ceil(AGING_DIVISOR);
        self.latency_us.store(aged, Ordering::Relaxed);
    }

    /// Begins the observations anew, with `latency_us` microseconds as the
    /// smoothed latency.
    pub fn reset_observations(&self, latency_us: u64) {
        self.failures.store(0, Ordering::Relaxed);
        self.latency_us.store(latency_us, Ordering::Relaxed);
    }

    /// Sets whether the runner gets requests.
    pub fn set_standing(&self, standing: RunnerStanding) {
        self.standing.store(standing as u32, Ordering::Relaxed);
    }

    /// Whether the runner is ejected and gets no requests.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        self.standing() == RunnerStanding::Ejected
    }

    /// Whether the runner gets requests.
    #[must_use]
    pub fn standing(&self) -> RunnerStanding {
        RunnerStanding::from(self.standing.load(Ordering::Relaxed))
    }
}

const fn tokens_of(word: u64) -> u32 {
    (word >> TOKEN_SHIFT) as u32
}

const fn in_flight_of(word: u64) -> u32 {
    (word & IN_FLIGHT_MASK) as u32
}

const fn smooth(before: u64, sample: u64) -> u64 {
    // Zero means that nothing was observed yet.
    let sample = if sample == 0 { 1 } else { sample };
    if before == 0 {
        return sample;
    }
    let kept = before - before / SMOOTHING_DIVISOR;
    let smoothed = kept + sample / SMOOTHING_DIVISOR;
    if smoothed == 0 { 1 } else { smoothed }
}
