//! What a task uses, as reported with a lag.

use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;

/// What a task uses now and used before the last change.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_core::ResourceSize;
/// use sapphirestile_standins::worker::UsageGauge;
///
/// let size = ResourceSize { cpu_milli: 1_000, memory_mb: 10, accelerators: 0 };
/// let gauge = UsageGauge::begin(size, MonoTime::from_millis(100));
/// assert_eq!(gauge.seen(MonoTime::from_millis(150), 60), ResourceSize::default());
/// assert_eq!(gauge.seen(MonoTime::from_millis(160), 60), size);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageGauge {
    earlier: ResourceSize,
    current: ResourceSize,
    changed: MonoTime,
}

impl UsageGauge {
    /// A task that uses `current` from `now` and nothing before.
    #[must_use]
    pub fn begin(current: ResourceSize, now: MonoTime) -> Self {
        Self {
            earlier: ResourceSize::default(),
            current,
            changed: now,
        }
    }

    /// Takes note that the task uses `current` from `now`.
    pub fn change(&mut self, current: ResourceSize, now: MonoTime) {
        self.earlier = self.current;
        self.current = current;
        self.changed = now;
    }

    /// What the task uses now.
    #[must_use]
    pub const fn current(&self) -> &ResourceSize {
        &self.current
    }

    /// What the task used `lag_ms` milliseconds before `now`.
    #[must_use]
    pub const fn seen(&self, now: MonoTime, lag_ms: u64) -> ResourceSize {
        if now.millis_since(self.changed) >= lag_ms {
            self.current
        } else {
            self.earlier
        }
    }
}
