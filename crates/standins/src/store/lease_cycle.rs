//! The life of a lease: live, then lapsed.

mod lapsed_phase;
mod lease_state;
mod live_phase;

use sapphirestile_core::MonoTime;

pub use lapsed_phase::LapsedPhase;
pub use lease_state::LeaseState;
pub use live_phase::LivePhase;

/// A lease in one phase of its life.
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
/// let LeaseState::Lapsed(lease) = lease.check(MonoTime::from_millis(1_999)) else { panic!() };
/// assert_eq!(lease.number(), 7);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseCycle<Phase> {
    number: i64,
    phase: Phase,
}

impl LeaseCycle<LivePhase> {
    /// A lease of `ttl_ms` milliseconds from `now`.
    #[must_use]
    pub const fn grant(number: i64, ttl_ms: u64, now: MonoTime) -> Self {
        let until = now.plus_millis(ttl_ms);
        Self {
            number,
            phase: LivePhase { ttl_ms, until },
        }
    }

    /// The lease, lapsed when its time is over.
    #[must_use]
    pub fn check(self, now: MonoTime) -> LeaseState {
        if now < self.phase.until {
            return LeaseState::Live(self);
        }
        LeaseState::Lapsed(LeaseCycle {
            number: self.number,
            phase: LapsedPhase,
        })
    }

    /// The lease, with its whole time again from `now`.
    #[must_use]
    pub const fn renew(self, now: MonoTime) -> Self {
        Self::grant(self.number, self.phase.ttl_ms, now)
    }

    /// When the lease lapses.
    #[must_use]
    pub const fn until(&self) -> MonoTime {
        self.phase.until
    }

    /// How long the lease lasts without renewal, in milliseconds.
    #[must_use]
    pub const fn ttl_ms(&self) -> u64 {
        self.phase.ttl_ms
    }
}

impl<Phase> LeaseCycle<Phase> {
    /// The number of the lease.
    #[must_use]
    pub const fn number(&self) -> i64 {
        self.number
    }
}
