//! How much a member needs tokens.

const WEIGHT_SCALE: u32 = 1_000;
const WEIGHT_FLOOR: u32 = 50;
const RISE_DIVISOR: u32 = 2;
const FALL_DIVISOR: u32 = 16;

/// The demand of one member for the runners of one service.
///
/// It rises quickly and falls slowly, so that tokens do not go back and forth
/// with each wave.
///
/// # Examples
///
/// ```
/// use sapphirestile_slots::DemandMeter;
///
/// let mut meter = DemandMeter::default();
/// let idle = meter.weight();
/// meter.observe(6, 2);
/// assert!(meter.weight() > idle);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandMeter {
    smoothed: u32,
}

impl DemandMeter {
    /// Notes how many requests were in flight in a round, and how many waited for
    /// want of a token.
    pub fn observe(&mut self, in_flight: u32, wanting: u32) {
        let sample = in_flight
            .saturating_add(wanting)
            .min(u32::MAX / WEIGHT_SCALE)
            * WEIGHT_SCALE;
        if sample > self.smoothed {
            self.smoothed += (sample - self.smoothed).div_ceil(RISE_DIVISOR);
        } else {
            self.smoothed -= (self.smoothed - sample).div_ceil(FALL_DIVISOR);
        }
    }

    /// The demand, in thousandths of a request; never zero.
    #[must_use]
    pub fn weight(&self) -> u32 {
        self.smoothed.max(WEIGHT_FLOOR)
    }
}
