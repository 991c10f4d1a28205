//! The pace of the tasks of a worker that use leftover processor time.

use sapphirestile_core::MonoTime;

/// The paces, in percent, from full to none.
const PACES: [u32; 5] = [100, 60, 30, 10, 0];

/// A new pace shows in the figures of a worker after this time, in milliseconds:
/// the figures cover half a second.
const EFFECT_MS: u64 = 650;

/// How long all latencies must be low before the pace is raised, in milliseconds.
const CALM_MS: u64 = 1_500;

/// Latencies up to this share of their target are low, in percent.
const LOW_PERCENT: u64 = 60;

/// Latencies above this share of their target are high, in percent.
const HIGH_PERCENT: u64 = 90;

/// Slows the tasks of a worker that use leftover processor time while a task
/// beside them is too slow for its callers, and speeds them up again once it is not.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_jobs::PaceKeeper;
///
/// let mut keeper = PaceKeeper::default();
/// assert_eq!(keeper.percent(), 100);
/// keeper.observe(130, MonoTime::from_millis(1_000));
/// assert_eq!(keeper.percent(), 30);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PaceKeeper {
    level: usize,
    changed: MonoTime,
    calm_since: Option<MonoTime>,
}

impl PaceKeeper {
    /// The pace, in percent.
    #[must_use]
    pub const fn percent(&self) -> u32 {
        PACES[self.level]
    }

    /// Whether the pace is below the full one.
    #[must_use]
    pub const fn is_slowed(&self) -> bool {
        self.level > 0
    }

    /// Takes note of the highest latency of the worker, in percent of its target.
    /// Two steps down at first, since the worst may last only seconds.
    pub fn observe(&mut self, worst_percent: u64, now: MonoTime) {
        let has_effect =
            self.changed == MonoTime::default() || now.millis_since(self.changed) >= EFFECT_MS;
        if worst_percent > HIGH_PERCENT {
            self.calm_since = None;
            if has_effect && self.level + 1 < PACES.len() {
                self.level = (self.level + 2).min(PACES.len() - 1);
                self.changed = now;
            }
            return;
        }
        if worst_percent > LOW_PERCENT {
            self.calm_since = None;
            return;
        }
        let since = *self.calm_since.get_or_insert(now);
        if self.level > 0 && now.millis_since(since) >= CALM_MS {
            self.level -= 1;
            self.changed = now;
            self.calm_since = Some(now);
        }
    }
}
