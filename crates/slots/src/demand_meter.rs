//! Measurement of a member's demand for tokens.

/// Weights are in thousandths of a request.
const WEIGHT_SCALE: u32 = 1_000;
/// The weight of an idle member, so that no demand is zero.
const WEIGHT_MIN: u32 = 50;
/// When demand rises, an observation closes the difference by one over this.
const RISE_DIVISOR: u32 = 2;
/// When demand falls, an observation closes the difference by one over this.
const FALL_DIVISOR: u32 = 16;

/// The demand of one member for the runners of one service.
///
/// The smoothed value rises quickly and falls slowly, so that tokens do not move back
/// and forth when demand fluctuates.
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
    /// Adds an observation: the number of requests in flight, and the number of those
    /// waiting for a token.
    pub fn observe(&mut self, in_flight: u32, waiting: u32) {
        let sample = in_flight
            .saturating_add(waiting)
            .min(u32::MAX / WEIGHT_SCALE)
            * WEIGHT_SCALE;
        if sample > self.smoothed {
            self.smoothed += (sample - self.smoothed).div_ceil(RISE_DIVISOR);
        } else {
            self.smoothed -= (self.smoothed - sample).div_ceil(FALL_DIVISOR);
        }
    }

    /// The smoothed demand, in thousandths of a request; never zero.
    #[must_use]
    pub fn weight(&self) -> u32 {
        self.smoothed.max(WEIGHT_MIN)
    }
}
