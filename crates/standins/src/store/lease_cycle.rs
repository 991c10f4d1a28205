//! The life cycle of a lease: live, then expired.

mod expired_phase;
mod lease_state;
mod live_phase;

use sapphirestile_core::MonoTime;

pub use expired_phase::ExpiredPhase;
pub use lease_state::LeaseState;
pub use live_phase::LivePhase;

/// A lease in one phase of its life cycle. It is checked against a time that the caller
/// passes.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_standins::store::LeaseCycle;
/// use sapphirestile_standins::store::LeaseState;
///
/// let lease = LeaseCycle::grant(7, 1_000, MonoTime::from_millis(0));
/// let LeaseState::Live(lease) = lease.check(MonoTime::from_millis(999)) else { panic!() };
/// let lease = lease.renew(MonoTime::from_millis(999));
/// let LeaseState::Expired(lease) = lease.check(MonoTime::from_millis(1_999)) else { panic!() };
/// assert_eq!(lease.number(), 7);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseCycle<Phase> {
    number: i64,
    phase: Phase,
}

impl LeaseCycle<LivePhase> {
    /// Creates a lease that expires `ttl_ms` milliseconds after `now`.
    #[must_use]
    pub const fn grant(number: i64, ttl_ms: u64, now: MonoTime) -> Self {
        let expires_at = now.plus_millis(ttl_ms);
        Self {
            number,
            phase: LivePhase { ttl_ms, expires_at },
        }
    }

    /// Returns the lease as expired once `now` has reached its expiry time.
    #[must_use]
    pub fn check(self, now: MonoTime) -> LeaseState {
        if now < self.phase.expires_at {
            return LeaseState::Live(self);
        }
        LeaseState::Expired(LeaseCycle {
            number: self.number,
            phase: ExpiredPhase,
        })
    }

    /// Restarts the time to live at `now`.
    #[must_use]
    pub const fn renew(self, now: MonoTime) -> Self {
        Self::grant(self.number, self.phase.ttl_ms, now)
    }

    /// When the lease expires unless it is renewed.
    #[must_use]
    pub const fn expires_at(&self) -> MonoTime {
        self.phase.expires_at
    }

    /// The time to live without renewal, in milliseconds.
    #[must_use]
    pub const fn ttl_ms(&self) -> u64 {
        self.phase.ttl_ms
    }
}

impl<Phase> LeaseCycle<Phase> {
    /// The lease ID, unique in its store.
    #[must_use]
    pub const fn number(&self) -> i64 {
        self.number
    }
}
