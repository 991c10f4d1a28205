//! Minimum, median and maximum of a repeated measurement.

use std::fmt::Display;
use std::fmt::Formatter;
use std::time::Instant;

const NANOS_PER_MICRO: u128 = 1_000;

/// Minimum, median and maximum time of a step, in nanoseconds. [`Display`] prints them in
/// microseconds.
///
/// # Examples
///
/// ```
/// use sapphirestile_capacity::TimingSummary;
///
/// let mut durations = [3_000, 1_000, 2_500].into_iter();
/// let sample = TimingSummary::measure(3, || durations.next().unwrap());
/// assert_eq!(sample.to_string(), "2.5 (1.0 to 3.0)");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimingSummary {
    min: u128,
    median: u128,
    max: u128,
}

impl TimingSummary {
    /// Calls `measure`, which returns nanoseconds, `rounds` times. The median of an even
    /// number of rounds is the upper of the two middle values.
    ///
    /// # Panics
    ///
    /// When `rounds` is zero.
    pub fn measure(rounds: usize, mut measure: impl FnMut() -> u128) -> Self {
        let mut times: Vec<u128> = (0..rounds).map(|_| measure()).collect();
        times.sort_unstable();
        Self {
            min: times[0],
            median: times[rounds / 2],
            max: times[rounds - 1],
        }
    }
}

/// Runs `step` once, and returns its nanoseconds divided by `units`, or by 1 when `units` is
/// zero. Dropping the result of `step` is not timed.
pub fn nanos_per_unit<T>(units: usize, step: impl FnOnce() -> T) -> u128 {
    let start = Instant::now();
    let result = std::hint::black_box(step());
    let nanos = start.elapsed().as_nanos();
    drop(result);
    nanos / units.max(1) as u128
}

impl Display for TimingSummary {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let [min, median, max] = [self.min, self.median, self.max].map(format_micros);
        write!(formatter, "{median} ({min} to {max})")
    }
}

/// Formats `nanos` as microseconds with one decimal, rounded down.
fn format_micros(nanos: u128) -> String {
    let tenths = nanos * 10 / NANOS_PER_MICRO;
    format!("{}.{}", tenths / 10, tenths % 10)
}
