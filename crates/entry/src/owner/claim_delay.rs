//! Delay before a daemon claims the ownership.

use std::time::Duration;

/// The processor share from which a daemon claims without delay.
const IMMEDIATE_CLAIM_SHARE: f64 = 0.5;

/// The delay for a processor share of 0. It shrinks linearly as the share grows.
const DELAY_MAX: Duration = Duration::from_millis(300);

/// The number of free cells above which the delay grows no more.
const ROUNDS_MAX: usize = 5;

/// The delay before a daemon claims the ownership of a cell. Daemons with more processor
/// time for each of their cells claim first, since the owners do most of the work. The more
/// cells are free at once, the longer the delay: each daemon claims one cell at each read,
/// and those with more processor time need several reads to claim all.
///
/// # Examples
///
/// ```
/// use sapphirestile_entry::ClaimDelay;
///
/// assert_eq!(ClaimDelay::of(0.5, 0, 1).duration().as_millis(), 0);
/// assert_eq!(ClaimDelay::of(0.25, 0, 1).duration().as_millis(), 150);
/// assert_eq!(ClaimDelay::of(0.5, 1, 1).duration().as_millis(), 150);
/// assert_eq!(ClaimDelay::of(0.5, 1, 10).duration().as_millis(), 750);
/// assert_eq!(ClaimDelay::of(4.0, 0, 10).duration().as_millis(), 0);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimDelay {
    duration: Duration,
}

impl ClaimDelay {
    /// Creates the delay of a daemon with the given processor share, where 1.0 is one
    /// processor, that owns a number of cells already, while some cells are free.
    #[must_use]
    pub fn of(cpu_share: f64, owned_cells: usize, free_cells: usize) -> Self {
        let cells = u32::try_from(owned_cells).map_or(f64::INFINITY, f64::from);
        let cell_share = cpu_share / (cells + 1.0);
        let rounds = u32::try_from(free_cells.clamp(1, ROUNDS_MAX)).unwrap_or(1);
        let missing_share = (1.0 - cell_share / IMMEDIATE_CLAIM_SHARE).clamp(0.0, 1.0);
        Self {
            duration: DELAY_MAX.mul_f64(missing_share) * rounds,
        }
    }

    /// The time to wait before claiming.
    #[must_use]
    pub const fn duration(self) -> Duration {
        self.duration
    }
}
