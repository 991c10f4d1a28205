//! Admission and counting of requests.

use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::RequestGuard;

const CLOSED: u64 = 1 << 63;

/// Admits requests until it is closed, and lets a planned stop wait for those in
/// flight.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
/// use std::time::Duration;
///
/// use sapphirestile_serving::RequestGate;
///
/// let gate = Arc::new(RequestGate::default());
/// let guard = gate.enter().unwrap();
/// gate.close();
/// assert!(gate.enter().is_none());
/// assert_eq!(gate.in_flight(), 1);
/// drop(guard);
/// assert!(gate.wait_idle(Duration::from_secs(1)));
/// ```
#[derive(Debug, Default)]
pub struct RequestGate {
    /// The number of requests in flight; the highest bit is set when the gate is
    /// closed.
    state: AtomicU64,
    idle_lock: Mutex<()>,
    became_idle: Condvar,
}

impl RequestGate {
    /// Admits a request; `None` when the gate is closed.
    #[must_use]
    pub fn enter(self: &Arc<Self>) -> Option<RequestGuard> {
        let before = self.state.fetch_add(1, Ordering::AcqRel);
        if before & CLOSED == 0 {
            return Some(RequestGuard::new(Arc::clone(self)));
        }
        self.leave();
        None
    }

    /// Closes the gate: no more requests are admitted.
    pub fn close(&self) {
        self.state.fetch_or(CLOSED, Ordering::AcqRel);
    }

    /// The number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u64 {
        self.state.load(Ordering::Acquire) & !CLOSED
    }

    /// Waits until no request is in flight; false when `timeout` passes first.
    #[must_use]
    pub fn wait_idle(&self, timeout: Duration) -> bool {
        let lock = self
            .idle_lock
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let waited = self
            .became_idle
            .wait_timeout_while(lock, timeout, |()| self.in_flight() > 0);
        let (_lock, result) = waited.unwrap_or_else(PoisonError::into_inner);
        !result.timed_out()
    }

    pub(crate) fn leave(&self) {
        let before = self.state.fetch_sub(1, Ordering::AcqRel);
        if before == CLOSED | 1 {
            // Taking the lock orders this notification after the check of a waiting
            // thread.
            let _lock = self
                .idle_lock
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            self.became_idle.notify_all();
        }
    }
}
