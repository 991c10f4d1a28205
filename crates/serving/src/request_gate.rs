//! Admission and counting of requests.

use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::RequestGuard;

const CLOSED: u64 = 1 << 63;

/// Admits requests until it is closed, and counts all that are being answered, so that a
/// planned stop can wait for them. A request that is not admitted counts too: its refusal
/// still has to be written.
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
/// let admitted = gate.enter();
/// assert!(admitted.is_admitted());
/// gate.close();
/// let refused = gate.enter();
/// assert!(!refused.is_admitted());
/// assert_eq!(gate.in_flight(), 2);
/// drop((admitted, refused));
/// assert!(gate.wait_idle(Duration::from_secs(1)));
/// assert_eq!((gate.arrivals(), gate.refusals()), (2, 1));
/// ```
#[derive(Debug, Default)]
pub struct RequestGate {
    /// The number of requests in flight; the highest bit is set when the gate is
    /// closed.
    state: AtomicU64,
    arrivals: AtomicU64,
    refusals: AtomicU64,
    sends_away: AtomicBool,
    idle_lock: Mutex<()>,
    became_idle: Condvar,
}

impl RequestGate {
    /// Counts a request that was read, and admits it unless the gate is closed.
    #[must_use]
    pub fn enter(self: &Arc<Self>) -> RequestGuard {
        let before = self.state.fetch_add(1, Ordering::AcqRel);
        let is_admitted = before & CLOSED == 0;
        if !is_admitted {
            self.refusals.fetch_add(1, Ordering::AcqRel);
        }
        self.arrivals.fetch_add(1, Ordering::AcqRel);
        RequestGuard::new(Arc::clone(self), is_admitted)
    }

    /// Lets each answer from now on end its connection, so that callers go elsewhere.
    pub fn send_away(&self) {
        self.sends_away.store(true, Ordering::Release);
    }

    /// Whether each answer ends its connection.
    #[must_use]
    pub fn sends_away(&self) -> bool {
        self.sends_away.load(Ordering::Acquire)
    }

    /// Closes the gate: no more requests are admitted.
    pub fn close(&self) {
        self.send_away();
        self.state.fetch_or(CLOSED, Ordering::AcqRel);
    }

    /// The number of requests in flight, admitted or not.
    #[must_use]
    pub fn in_flight(&self) -> u64 {
        self.state.load(Ordering::Acquire) & !CLOSED
    }

    /// The number of requests that were read so far.
    #[must_use]
    pub fn arrivals(&self) -> u64 {
        self.arrivals.load(Ordering::Acquire)
    }

    /// The number of requests that were not admitted so far.
    #[must_use]
    pub fn refusals(&self) -> u64 {
        self.refusals.load(Ordering::Acquire)
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
