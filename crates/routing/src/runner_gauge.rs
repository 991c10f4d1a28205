//! The load and the health of one runner as seen by one daemon.

use crate::RunnerState;
use crate::sync::AtomicU32;
use crate::sync::AtomicU64;
use crate::sync::Ordering;

const TOKEN_SHIFT: u32 = 32;
const IN_FLIGHT_MASK: u64 = 0xffff_ffff;
const SMOOTHING_DIVISOR: u64 = 8;
const DECAY_DIVISOR: u64 = 8;

/// The load and the health of one runner as seen by one daemon: the tokens held, the
/// requests in flight, and the observed latency and failures.
///
/// A token is the right to have one request in flight. Tokens and requests in flight
/// share one atomic word, so that taking a slot and removing a free token compare both
/// numbers atomically: the requests in flight never exceed the tokens.
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
    /// The moving average of the latency; zero before the first answer.
    latency_us: AtomicU64,
    /// The sum of the latencies of all complete answers, which wraps around.
    latency_sum_us: AtomicU64,
    /// Requests without a complete answer since the last complete answer or reset.
    failures: AtomicU32,
    /// All complete answers.
    answers: AtomicU64,
    /// The value of `answers` when the ejection policy last evaluated the runner.
    evaluated_answers: AtomicU64,
    /// A [`RunnerState`] as a number.
    state: AtomicU32,
}

impl Default for RunnerGauge {
    fn default() -> Self {
        Self::new()
    }
}

impl RunnerGauge {
    /// A gauge without tokens, requests and observations.
    #[must_use]
    pub fn new() -> Self {
        Self {
            slots: AtomicU64::new(0),
            latency_us: AtomicU64::new(0),
            latency_sum_us: AtomicU64::new(0),
            failures: AtomicU32::new(0),
            answers: AtomicU64::new(0),
            evaluated_answers: AtomicU64::new(0),
            state: AtomicU32::new(RunnerState::Open as u32),
        }
    }

    /// The number of tokens held.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        tokens_of(self.slots.load(Ordering::Acquire))
    }

    /// The number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        in_flight_of(self.slots.load(Ordering::Acquire))
    }

    /// The tokens held and the requests in flight, read atomically.
    #[must_use]
    pub fn occupancy(&self) -> (u32, u32) {
        let word = self.slots.load(Ordering::Acquire);
        (tokens_of(word), in_flight_of(word))
    }

    /// Takes one slot; returns `false` if no token is free.
    ///
    /// The slot must be released by [`Self::release_slot`]. A
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

    /// Releases one slot.
    ///
    /// # Panics
    ///
    /// If no slot is taken, or if more slots are taken than tokens held.
    pub fn release_slot(&self) {
        let before = self.slots.fetch_sub(1, Ordering::AcqRel);
        let in_flight = in_flight_of(before);
        assert!(in_flight > 0, "released a slot although none is taken");
        assert!(
            in_flight <= tokens_of(before),
            "{in_flight} requests are in flight, but only {} tokens are held",
            tokens_of(before)
        );
    }

    /// Adds tokens that this daemon received or was granted.
    ///
    /// # Panics
    ///
    /// If the number of tokens exceeds `u32::MAX`.
    pub fn add_tokens(&self, count: u32) {
        let added = u64::from(count) << TOKEN_SHIFT;
        let before = self.slots.fetch_add(added, Ordering::AcqRel);
        assert!(
            tokens_of(before).checked_add(count).is_some(),
            "the number of tokens of a runner exceeds u32::MAX"
        );
    }

    /// Removes up to `max` free tokens and returns the number removed.
    ///
    /// Tokens with a request in flight are kept.
    #[must_use]
    pub fn remove_free_tokens(&self, max: u32) -> u32 {
        let mut word = self.slots.load(Ordering::Relaxed);
        loop {
            let free = tokens_of(word) - in_flight_of(word);
            let count = free.min(max);
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

    /// Records a complete answer with a latency of `latency_us` microseconds.
    pub fn record_answer(&self, latency_us: u64) {
        self.failures.store(0, Ordering::Relaxed);
        self.answers.fetch_add(1, Ordering::Relaxed);
        self.latency_sum_us.fetch_add(latency_us, Ordering::Relaxed);
        let before = self.latency_us.load(Ordering::Relaxed);
        // If two threads update the latency at the same time, one sample is lost, which
        // hardly changes the average.
        self.latency_us
            .store(smooth(before, latency_us), Ordering::Relaxed);
    }

    /// Records a request without a complete answer.
    pub fn record_failure(&self) {
        self.failures.fetch_add(1, Ordering::Relaxed);
    }

    /// The moving average of the latency, in microseconds; zero before the first answer.
    #[must_use]
    pub fn latency_us(&self) -> u64 {
        self.latency_us.load(Ordering::Relaxed)
    }

    /// The number of requests without a complete answer since the last complete answer
    /// or reset.
    #[must_use]
    pub fn failures(&self) -> u32 {
        self.failures.load(Ordering::Relaxed)
    }

    /// The number of complete answers.
    #[must_use]
    pub fn answers(&self) -> u64 {
        self.answers.load(Ordering::Relaxed)
    }

    /// The sum of the latencies of all complete answers, in microseconds, which wraps
    /// around.
    ///
    /// The difference of two readings is the sum over the answers between them, except
    /// for answers that are recorded during a reading.
    #[must_use]
    pub fn latency_sum_us(&self) -> u64 {
        self.latency_sum_us.load(Ordering::Relaxed)
    }

    /// The number of complete answers since the last call. Must be called by a single
    /// thread.
    pub(crate) fn take_new_answers(&self) -> u64 {
        let answers = self.answers();
        answers - self.evaluated_answers.swap(answers, Ordering::Relaxed)
    }

    /// Moves the average latency one step down towards `floor_us` microseconds, to be
    /// used when there was no new answer.
    pub(crate) fn decay_latency(&self, floor_us: u64) {
        let latency = self.latency_us();
        let excess = latency.saturating_sub(floor_us);
        let decayed = latency - excess.div_ceil(DECAY_DIVISOR);
        self.latency_us.store(decayed, Ordering::Relaxed);
    }

    /// Resets the failures and sets the average latency to `latency_us` microseconds.
    pub fn reset_observations(&self, latency_us: u64) {
        self.failures.store(0, Ordering::Relaxed);
        self.latency_us.store(latency_us, Ordering::Relaxed);
    }

    /// Sets whether the runner gets requests.
    pub fn set_state(&self, state: RunnerState) {
        self.state.store(state as u32, Ordering::Relaxed);
    }

    /// Whether the runner is ejected and gets no requests.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        self.state() == RunnerState::Ejected
    }

    /// Whether the runner gets requests; [`RunnerState::Open`] at first.
    #[must_use]
    pub fn state(&self) -> RunnerState {
        RunnerState::from(self.state.load(Ordering::Relaxed))
    }
}

const fn tokens_of(word: u64) -> u32 {
    (word >> TOKEN_SHIFT) as u32
}

const fn in_flight_of(word: u64) -> u32 {
    (word & IN_FLIGHT_MASK) as u32
}

const fn smooth(before: u64, sample: u64) -> u64 {
    // Zero stands for no observation, so a sample of zero counts as 1.
    let sample = if sample == 0 { 1 } else { sample };
    if before == 0 {
        return sample;
    }
    let kept = before - before / SMOOTHING_DIVISOR;
    let smoothed = kept + sample / SMOOTHING_DIVISOR;
    if smoothed == 0 { 1 } else { smoothed }
}
