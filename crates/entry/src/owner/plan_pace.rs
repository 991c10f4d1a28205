//! When starts are planned.

use std::time::Duration;

use sapphirestile_core::MonoTime;

/// The shortest time between two batches, in milliseconds: calls to the store are
/// paid for, and tasks run for much longer.
const BATCH_INTERVAL_MS: u64 = 20;

/// How often starts are planned while nothing happens, in milliseconds: leases end
/// and workers come back into sight without an event.
const IDLE_INTERVAL_MS: u64 = 100;

/// Has starts planned just before a batch can be sent: what is planned earlier waits
/// for that batch all the same, and each plan looks at every waiting job and worker.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_entry::PlanPace;
///
/// let mut pace = PlanPace::new(MonoTime::from_millis(0));
/// pace.note_event();
/// assert!(!pace.is_due(false, MonoTime::from_millis(19)));
/// assert!(pace.is_due(false, MonoTime::from_millis(20)));
/// pace.note_plan(false, MonoTime::from_millis(20));
/// pace.note_event();
/// assert!(!pace.is_due(true, MonoTime::from_millis(40)), "a batch is being stored");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlanPace {
    batch_sent: MonoTime,
    planned: MonoTime,
    has_news: bool,
}

impl PlanPace {
    /// The pace of an owner that begins now; it plans at the first chance.
    #[must_use]
    pub const fn new(now: MonoTime) -> Self {
        Self {
            batch_sent: now,
            planned: now,
            has_news: true,
        }
    }

    /// Takes note of an event, after which something may start that could not before.
    pub const fn note_event(&mut self) {
        self.has_news = true;
    }

    /// Takes note of a plan, and whether it left starts for the next.
    pub const fn note_plan(&mut self, is_cut_short: bool, now: MonoTime) {
        self.planned = now;
        self.has_news = is_cut_short;
    }

    /// Takes note of a batch that was sent.
    pub const fn note_batch(&mut self, now: MonoTime) {
        self.batch_sent = now;
    }

    /// Whether a batch may be sent, when the one before `is_storing` no more.
    #[must_use]
    pub fn may_send(&self, is_storing: bool, now: MonoTime) -> bool {
        !is_storing && self.since_batch_ms(now) >= BATCH_INTERVAL_MS
    }

    /// Whether starts are to be planned now.
    #[must_use]
    pub fn is_due(&self, is_storing: bool, now: MonoTime) -> bool {
        let is_idle = now.millis_since(self.planned) >= IDLE_INTERVAL_MS;
        (self.has_news || is_idle) && self.may_send(is_storing, now)
    }

    /// How long the owner may wait for the next event, if it has changes to store or
    /// starts to plan.
    #[must_use]
    pub fn wait(&self, is_storing: bool, has_changes: bool, now: MonoTime) -> Duration {
        if is_storing || !(has_changes || self.has_news) {
            return Duration::from_millis(IDLE_INTERVAL_MS);
        }
        let left_ms = BATCH_INTERVAL_MS.saturating_sub(self.since_batch_ms(now));
        Duration::from_millis(left_ms.max(1))
    }

    /// How long ago the latest batch was sent, in milliseconds.
    #[must_use]
    pub fn since_batch_ms(&self, now: MonoTime) -> u64 {
        now.millis_since(self.batch_sent)
    }
}
