//! The spread of a repeated measurement.

use std::fmt::Display;
use std::fmt::Formatter;
use std::time::Instant;

const NANOS_PER_MICRO: u128 = 1_000;

/// Least, median and most time of a step, in nanoseconds.
///
/// # Examples
///
/// ```
/// use sapphirestile_capacity::TimeSample;
///
/// let mut answers = [3_000, 1_000, 2_500].into_iter();
/// let sample = TimeSample::gather(3, || answers.next().unwrap());
/// assert_eq!(sample.to_string(), "2.5 (1.0 to 3.0)");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeSample {
    least: u128,
    median: u128,
    most: u128,
}

impl TimeSample {
    /// Repeats a measurement that gives nanoseconds.
    ///
    /// # Panics
    ///
    /// When `rounds` is zero.
    pub fn gather(rounds: usize, mut measure: impl FnMut() -> u128) -> Self {
        let mut times: Vec<u128> = (0..rounds).map(|_| measure()).collect();
        times.sort_unstable();
        Self {
            least: times[0],
            median: times[rounds / 2],
            most: times[rounds - 1],
        }
    }
}

/// The nanoseconds of one run of `step`, divided by `units`.
pub fn nanos_of<T>(units: usize, step: impl FnOnce() -> T) -> u128 {
    let begin = Instant::now();
    let result = std::hint::black_box(step());
    let nanos = begin.elapsed().as_nanos();
    drop(result);
    nanos / units.max(1) as u128
}

impl Display for TimeSample {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let [least, median, most] = [self.least, self.median, self.most].map(micros);
        write!(formatter, "{median} ({least} to {most})")
    }
}

/// Microseconds with one place after the point.
fn micros(nanos: u128) -> String {
    let tenths = nanos * 10 / NANOS_PER_MICRO;
    format!("{}.{}", tenths / 10, tenths % 10)
}
