//! Starts in a zone that has come back.

use sapphirestile_core::MonoTime;

/// How much of a zone that has returned may be filled, growing with time.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_placement::RefillRamp;
///
/// let ramp = RefillRamp::new(MonoTime::from_millis(0), 100_000);
/// assert_eq!(ramp.share_permille(MonoTime::from_millis(0)), 100);
/// assert_eq!(ramp.share_permille(MonoTime::from_millis(50_000)), 550);
/// assert_eq!(ramp.share_permille(MonoTime::from_millis(200_000)), 1_000);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefillRamp {
    returned: MonoTime,
    length_ms: u64,
}

const FIRST_SHARE_PERMILLE: u64 = 100;
const WHOLE_PERMILLE: u64 = 1_000;

impl RefillRamp {
    /// A ramp from `returned` on that is full after `length_ms` milliseconds.
    #[must_use]
    pub const fn new(returned: MonoTime, length_ms: u64) -> Self {
        Self {
            returned,
            length_ms,
        }
    }

    /// The share of each worker that may be filled at `now`, in thousandths.
    #[must_use]
    pub fn share_permille(&self, now: MonoTime) -> u64 {
        let passed = now.millis_since(self.returned).min(self.length_ms);
        let grown = WHOLE_PERMILLE - FIRST_SHARE_PERMILLE;
        FIRST_SHARE_PERMILLE + grown * passed / self.length_ms.max(1)
    }
}
