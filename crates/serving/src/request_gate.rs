//! Lets requests in and counts them.

use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::GatePass;

const CLOSED: u64 = 1 << 63;

/// Lets requests in until it is closed, and waits for the last one in flight.
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
/// let pass = gate.enter().unwrap();
/// gate.close();
/// assert!(gate.enter().is_none());
/// assert_eq!(gate.in_flight(), 1);
/// drop(pass);
/// assert!(gate.wait_empty(Duration::from_secs(1)));
/// ```
#[derive(Debug, Default)]
pub struct RequestGate {
    /// The requests in flight, and one bit for the gate being closed.
    state: AtomicU64,
    emptying: Mutex<()>,
    emptied: Condvar,
}

impl RequestGate {
    /// Lets a request in, unless the gate is closed.
    #[must_use]
    pub fn enter(self: &Arc<Self>) -> Option<GatePass> {
        let before = self.state.fetch_add(1, Ordering::AcqRel);
        if before & CLOSED == 0 {
            return Some(GatePass::new(Arc::clone(self)));
        }
        self.leave();
        None
    }

    /// Lets no more requests in.
    pub fn close(&self) {
        self.state.fetch_or(CLOSED, Ordering::AcqRel);
    }

    /// How many requests are in flight.
    #[must_use]
    pub fn in_flight(&self) -> u64 {
        self.state.load(Ordering::Acquire) & !CLOSED
    }

    /// Waits until no request is in flight; false when that took too long.
    #[must_use]
    pub fn wait_empty(&self, timeout: Duration) -> bool {
        let turn = self.emptying.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = self
            .emptied
            .wait_timeout_while(turn, timeout, |()| self.in_flight() > 0);
        let (_turn, result) = waited.unwrap_or_else(PoisonError::into_inner);
        !result.timed_out()
    }

    pub(crate) fn leave(&self) {
        let before = self.state.fetch_sub(1, Ordering::AcqRel);
        if before == CLOSED | 1 {
            // Taking the lock orders this after the check of a thread that waits.
            let _turn = self.emptying.lock().unwrap_or_else(PoisonError::into_inner);
            self.emptied.notify_all();
        }
    }
}
