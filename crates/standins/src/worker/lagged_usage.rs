//! Resource usage that is reported with a lag.

use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;

/// The resource usage of a task now and before the last change, to report it with a lag. Only
/// one earlier value is kept.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_core::ResourceSize;
/// use sapphirestile_standins::worker::LaggedUsage;
///
/// let size = ResourceSize { cpu_milli: 1_000, memory_mb: 10, accelerators: 0 };
/// let usage = LaggedUsage::start(size, MonoTime::from_millis(100));
/// assert_eq!(usage.reported(MonoTime::from_millis(150), 60), ResourceSize::default());
/// assert_eq!(usage.reported(MonoTime::from_millis(160), 60), size);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LaggedUsage {
    earlier: ResourceSize,
    current: ResourceSize,
    changed: MonoTime,
}

impl LaggedUsage {
    /// Creates the usage of a task that uses `current` from `now` on and nothing before.
    #[must_use]
    pub fn start(current: ResourceSize, now: MonoTime) -> Self {
        Self {
            earlier: ResourceSize::default(),
            current,
            changed: now,
        }
    }

    /// Sets the usage from `now` on.
    pub fn set(&mut self, current: ResourceSize, now: MonoTime) {
        self.earlier = self.current;
        self.current = current;
        self.changed = now;
    }

    /// The usage since the last change.
    #[must_use]
    pub const fn current(&self) -> &ResourceSize {
        &self.current
    }

    /// The usage as it was `lag_ms` milliseconds before `now`.
    #[must_use]
    pub const fn reported(&self, now: MonoTime, lag_ms: u64) -> ResourceSize {
        if now.millis_since(self.changed) >= lag_ms {
            self.current
        } else {
            self.earlier
        }
    }
}
