//! Schedule of planning and storing.

use std::time::Duration;

use sapphirestile_core::MonoTime;

/// The minimum interval between two batches, in milliseconds. Calls to the store are
/// charged for, and tasks run much longer than this.
const BATCH_INTERVAL_MS: u64 = 20;

/// The interval at which starts are planned without events, in milliseconds: leases end
/// and unreachable workers recover without an event.
const IDLE_INTERVAL_MS: u64 = 100;

/// Schedules planning just before a batch can be sent. Starts that are planned earlier
/// would wait for that batch anyway, and each plan inspects every waiting job and
/// worker.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_entry::PlanSchedule;
///
/// let mut schedule = PlanSchedule::new(MonoTime::from_millis(0));
/// schedule.record_event();
/// assert!(!schedule.is_plan_due(false, MonoTime::from_millis(19)));
/// assert!(schedule.is_plan_due(false, MonoTime::from_millis(20)));
/// schedule.record_plan(false, MonoTime::from_millis(20));
/// schedule.record_event();
/// assert!(!schedule.is_plan_due(true, MonoTime::from_millis(40)), "a batch is being stored");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlanSchedule {
    batch_sent: MonoTime,
    planned: MonoTime,
    has_new_events: bool,
}

impl PlanSchedule {
    /// Creates the schedule of an owner that starts now; a plan is due with the first
    /// batch.
    #[must_use]
    pub const fn new(now: MonoTime) -> Self {
        Self {
            batch_sent: now,
            planned: now,
            has_new_events: true,
        }
    }

    /// Records an event, which may allow starts that were not possible before.
    pub const fn record_event(&mut self) {
        self.has_new_events = true;
    }

    /// Records a plan; `is_cut_short` says whether it left starts for the next one.
    pub const fn record_plan(&mut self, is_cut_short: bool, now: MonoTime) {
        self.planned = now;
        self.has_new_events = is_cut_short;
    }

    /// Records that a batch was sent.
    pub const fn record_batch(&mut self, now: MonoTime) {
        self.batch_sent = now;
    }

    /// Whether a batch may be sent now; `is_storing` says whether the previous one is
    /// still being stored.
    #[must_use]
    pub fn may_send(&self, is_storing: bool, now: MonoTime) -> bool {
        !is_storing && self.since_batch_ms(now) >= BATCH_INTERVAL_MS
    }

    /// Whether starts should be planned now.
    #[must_use]
    pub fn is_plan_due(&self, is_storing: bool, now: MonoTime) -> bool {
        let is_idle = now.millis_since(self.planned) >= IDLE_INTERVAL_MS;
        (self.has_new_events || is_idle) && self.may_send(is_storing, now)
    }

    /// How long the owner may wait for the next event. The wait is shorter when there
    /// are changes to store or starts to plan.
    #[must_use]
    pub fn event_timeout(&self, is_storing: bool, has_changes: bool, now: MonoTime) -> Duration {
        if is_storing || !(has_changes || self.has_new_events) {
            return Duration::from_millis(IDLE_INTERVAL_MS);
        }
        let left_ms = BATCH_INTERVAL_MS.saturating_sub(self.since_batch_ms(now));
        Duration::from_millis(left_ms.max(1))
    }

    /// The time since the latest batch was sent, in milliseconds.
    #[must_use]
    pub fn since_batch_ms(&self, now: MonoTime) -> u64 {
        now.millis_since(self.batch_sent)
    }
}
