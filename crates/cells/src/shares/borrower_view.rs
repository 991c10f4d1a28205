//! How a borrower stands with a lender.

use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;

/// The least spare share that a borrower keeps returns it after this time, in
/// milliseconds.
const IDLE_WINDOW_MS: u64 = 5_000;
const CAP_LIFETIME_MS: u64 = 15_000;

/// What a borrower remembers of one customer's share; none of it lasts.
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
    /// When the lender was last asked.
    pub asked: Option<MonoTime>,
    /// Whether the journal has moved since the lender last answered.
    pub moved: bool,
    /// Whether the lender had nothing to lend.
    pub unmet: bool,
    cap: Option<(ResourceSize, MonoTime)>,
    least: Option<(ResourceSize, MonoTime)>,
}

impl BorrowerView {
    /// Takes the lender's cap.
    pub fn set_cap(&mut self, cap: Option<ResourceSize>, now: MonoTime) {
        self.cap = cap.map(|cap| (cap, now.plus_millis(CAP_LIFETIME_MS)));
    }

    /// The most that may be used now.
    #[must_use]
    pub fn cap(&self, now: MonoTime) -> Option<&ResourceSize> {
        let cap = self.cap.as_ref().filter(|(_, until)| *until > now);
        cap.map(|(cap, _)| cap)
    }

    /// Takes the spare share of this moment, and gives what was spare throughout
    /// the window that has just ended.
    pub fn idle_share(&mut self, spare: &ResourceSize, now: MonoTime) -> ResourceSize {
        let (least, since) = self.least.get_or_insert((*spare, now));
        *least = least.at_most(spare);
        if now.millis_since(*since) < IDLE_WINDOW_MS {
            return ResourceSize::default();
        }
        let idle = *least;
        self.least = None;
        idle
    }
}
