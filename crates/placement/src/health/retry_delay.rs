//! Backoff between attempts of a job's tasks.

const FIRST_DELAY_MS: u64 = 2_000;
const MAX_DELAY_MS: u64 = 300_000;
/// Keeps the shift from overflowing; the maximum delay is reached before.
const DOUBLINGS_MAX: u32 = 16;

/// The exponential backoff after `failures` failures in a row, in milliseconds.
///
/// # Examples
///
/// ```
/// use sapphirestile_placement::retry_delay_ms;
///
/// assert_eq!(retry_delay_ms(1), 2_000);
/// assert_eq!(retry_delay_ms(3), 8_000);
/// assert_eq!(retry_delay_ms(50), 300_000);
/// ```
#[must_use]
pub fn retry_delay_ms(failures: u32) -> u64 {
    let doublings = failures.saturating_sub(1).min(DOUBLINGS_MAX);
    (FIRST_DELAY_MS << doublings).min(MAX_DELAY_MS)
}
