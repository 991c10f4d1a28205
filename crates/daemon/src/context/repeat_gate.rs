//! Keeps a fault that repeats from flooding the log.

use std::sync::Mutex;
use std::sync::PoisonError;

use sapphirestile_core::MonoTime;

const INTERVAL_MS: u64 = 10_000;

/// Lets the first of a row of like messages through, and then one each ten
/// seconds with the count of those held back.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_daemon::context::RepeatGate;
///
/// let gate = RepeatGate::default();
/// assert_eq!(gate.pass(MonoTime::from_millis(0)), Some(0));
/// assert_eq!(gate.pass(MonoTime::from_millis(50)), None);
/// assert_eq!(gate.pass(MonoTime::from_millis(60)), None);
/// assert_eq!(gate.pass(MonoTime::from_millis(10_000)), Some(2));
/// ```
#[derive(Debug, Default)]
pub struct RepeatGate {
    /// When a message last passed, and how many were held back since.
    passed: Mutex<Option<(MonoTime, u64)>>,
}

impl RepeatGate {
    /// How many messages were held back, when this one may be written.
    #[must_use]
    pub fn pass(&self, now: MonoTime) -> Option<u64> {
        let mut passed = self.passed.lock().unwrap_or_else(PoisonError::into_inner);
        match &mut *passed {
            Some((last, held_back)) if now.millis_since(*last) < INTERVAL_MS => {
                *held_back += 1;
                None
            }
            Some((_, held_back)) => {
                let count = *held_back;
                *passed = Some((now, 0));
                Some(count)
            }
            None => {
                *passed = Some((now, 0));
                Some(0)
            }
        }
    }
}
