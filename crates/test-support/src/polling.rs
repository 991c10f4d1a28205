//! Polling for a condition.

use std::thread;
use std::time::Duration;

const POLLS_MAX: u32 = 1_200;
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Polls `probe` until it returns a value. `what` names the condition in the panic
/// message.
///
/// # Panics
///
/// When 1,200 polls, 100 ms apart, returned no value. How long a successful wait took
/// has no influence on the result of a test.
pub fn wait_until<T>(what: &str, mut probe: impl FnMut() -> Option<T>) -> T {
    for _ in 0..POLLS_MAX {
        if let Some(found) = probe() {
            return found;
        }
        thread::sleep(POLL_INTERVAL);
    }
    panic!("gave up after {POLLS_MAX} polls, {POLL_INTERVAL:?} apart, waiting until {what}");
}
