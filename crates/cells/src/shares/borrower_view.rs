//! A borrower's view of its lender.

use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;

/// The part of a share that stays unused for this long is returned to the lender.
const IDLE_WINDOW_MS: u64 = 5_000;
/// A cap that the lender does not renew within this time no longer applies.
const CAP_LIFETIME_MS: u64 = 15_000;

/// What a borrower knows about its share of one customer's quota. Not durable.
///
/// # Examples
///
/// ```
/// use sapphirestile_cells::BorrowerView;
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_core::ResourceSize;
///
/// let spare = ResourceSize { cpu_milli: 500, memory_mb: 64, accelerators: 0 };
/// let mut view = BorrowerView::default();
/// assert_eq!(view.idle_share(&spare, MonoTime::from_millis(0)), ResourceSize::default());
/// assert_eq!(view.idle_share(&spare, MonoTime::from_millis(5_000)), spare);
/// ```
#[derive(Clone, Debug, Default)]
pub struct BorrowerView {
    /// When the lender was last asked; `None` before the first report.
    pub asked: Option<MonoTime>,
    /// Whether committed totals, or a report that was lost, still have to be reported.
    pub report_pending: bool,
    /// Whether the lender could not lend what the latest report asked for.
    pub unmet: bool,
    /// The lender's cap, and when it ceases to apply.
    cap: Option<(ResourceSize, MonoTime)>,
    /// The smallest unused share in the current window, and when the window began.
    min_spare: Option<(ResourceSize, MonoTime)>,
}

impl BorrowerView {
    /// Sets the lender's cap, valid for 15 s; `None` removes it.
    pub fn set_cap(&mut self, cap: Option<ResourceSize>, now: MonoTime) {
        self.cap = cap.map(|cap| (cap, now.plus_millis(CAP_LIFETIME_MS)));
    }

    /// The most that this cell may use; `None` when no cap is in force.
    #[must_use]
    pub fn cap(&self, now: MonoTime) -> Option<&ResourceSize> {
        let cap = self.cap.as_ref().filter(|(_, until)| *until > now);
        cap.map(|(cap, _)| cap)
    }

    /// Records the part of the share that is unused at `now`. Returns the part that was
    /// unused throughout the window that just ended, or nothing while it has not ended.
    pub fn idle_share(&mut self, spare: &ResourceSize, now: MonoTime) -> ResourceSize {
        let (min_spare, since) = self.min_spare.get_or_insert((*spare, now));
        *min_spare = min_spare.at_most(spare);
        if now.millis_since(*since) < IDLE_WINDOW_MS {
            return ResourceSize::default();
        }
        let idle = *min_spare;
        self.min_spare = None;
        idle
    }
}
