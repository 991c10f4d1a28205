//! Waiting for something to be so.

use std::thread;
use std::time::Duration;

const LOOKS: u32 = 1_200;
const PAUSE: Duration = Duration::from_millis(100);

/// Looks again and again until `look` finds something.
///
/// # Panics
///
/// When it has looked 1,200 times, a tenth of a second apart, in vain. How long it
/// took is no part of any verdict.
pub fn wait_until<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    for _ in 0..LOOKS {
        if let Some(found) = look() {
            return found;
        }
        thread::sleep(PAUSE);
    }
    panic!("waited in vain until {what}");
}
