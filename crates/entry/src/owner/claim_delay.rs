//! Delay before a daemon claims the ownership.

use std::time::Duration;

/// The processor share from which a daemon claims without delay.
const IMMEDIATE_CLAIM_SHARE: f64 = 0.5;

/// The delay for a processor share of 0. It shrinks linearly as the share grows.
const DELAY_MAX: Duration = Duration::from_millis(300);

/// The delay before a daemon claims the ownership of a cell. Daemons with more processor
/// time for each of their cells claim first, since the owners do most of the work.
///
/// # Examples
///
/// ```
/// use sapphirestile_entry::ClaimDelay;
///
/// assert_eq!(ClaimDelay::of(0.5, 0).duration().as_millis(), 0);
/// assert_eq!(ClaimDelay::of(0.25, 0).duration().as_millis(), 150);
/// assert_eq!(ClaimDelay::of(0.5, 1).duration().as_millis(), 150);
/// assert_eq!(ClaimDelay::of(4.0, 0).duration().as_millis(), 0);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimDelay {
    duration: Duration,
}

impl ClaimDelay {
    /// Creates the delay of a daemon with the given processor share, where 1.0 is one
    /// processor, that owns a number of cells already.
    #[must_use]
    pub fn of(cpu_share: f64, owned_cells: usize) -> Self {
        let cells = u32::try_from(owned_cells).map_or(f64::INFINITY, f64::from);
        let cell_share = cpu_share / (cells + 1.0);
        let missing_share = (1.0 - cell_share / IMMEDIATE_CLAIM_SHARE).clamp(0.0, 1.0);
        Self {
            duration: DELAY_MAX.mul_f64(missing_share),
        }
    }

    /// The time to wait before claiming.
    #[must_use]
    pub const fn duration(self) -> Duration {
        self.duration
    }
}
