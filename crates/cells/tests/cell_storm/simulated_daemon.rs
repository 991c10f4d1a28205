//! Simulated daemons.

use crate::daemon_role::DaemonRole;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::DaemonName;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_core::MonoTime;

/// A daemon across its incarnations.
pub struct SimulatedDaemon {
    pub identity: DaemonIdentity,
    pub role: DaemonRole,
    /// Incremented at each change of role.
    pub term: u64,
    pub frozen_since: MonoTime,
    pub frozen_until: MonoTime,
    pub dead_until: MonoTime,
    /// Revision of the configuration that it knows.
    pub config: usize,
}

impl SimulatedDaemon {
    pub fn new(number: usize) -> Self {
        let name = format!("entry-{number}");
        let daemon = DaemonName::try_from(name.as_str()).expect("the name fits");
        let incarnation = IncarnationNumber::new(1);
        Self {
            identity: DaemonIdentity {
                daemon,
                incarnation,
            },
            role: DaemonRole::Idle,
            term: 0,
            frozen_since: MonoTime::default(),
            frozen_until: MonoTime::default(),
            dead_until: MonoTime::default(),
            config: 0,
        }
    }

    pub fn take_role(&mut self, role: DaemonRole) {
        self.role = role;
        self.term += 1;
    }

    /// Delays every step and message until `until`.
    pub fn freeze(&mut self, now: MonoTime, until: MonoTime) {
        if now >= self.frozen_until {
            self.frozen_since = now;
        }
        self.frozen_until = self.frozen_until.max(until);
    }

    /// Whether it has been frozen for at least `silence_ms`.
    pub fn is_silent(&self, now: MonoTime, silence_ms: u64) -> bool {
        now < self.frozen_until && now.millis_since(self.frozen_since) >= silence_ms
    }

    /// Ends this incarnation; the next one starts at `until`.
    pub fn kill(&mut self, until: MonoTime) {
        self.take_role(DaemonRole::Idle);
        self.identity.incarnation = IncarnationNumber::new(self.identity.incarnation.get() + 1);
        self.frozen_until = MonoTime::default();
        self.dead_until = until;
    }

    pub fn is_dead(&self, now: MonoTime) -> bool {
        now < self.dead_until
    }

    pub fn acts(&self, now: MonoTime) -> bool {
        now >= self.dead_until && now >= self.frozen_until
    }
}
