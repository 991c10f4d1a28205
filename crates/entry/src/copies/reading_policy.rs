//! Decides whether a daemon relies on copies of the operators' document.

use sapphirestile_core::MonoTime;

use crate::copies::seen_revisions::SeenRevisions;
use crate::store::DocumentReport;

/// How far an owner may be behind the store to count as following the document, in
/// milliseconds.
const BEHIND_MAX_MS: u64 = 3_000;

/// The number of daemons that must follow the document before others rely on them.
pub(crate) const PUBLISHERS_TO_BEGIN: usize = 4;

/// The number of daemons that must follow the document as long as others rely on them.
const PUBLISHERS_TO_GO_ON: usize = 2;

/// Decides from the owners' reports whether a daemon relies on copies of the operators'
/// document. Where few daemons own cells, the others read the document themselves: that
/// depends on no other daemon.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_entry::DocumentReport;
/// use sapphirestile_entry::ReadingPolicy;
///
/// let report = DocumentReport { copied: 7, followed: 90 };
/// let reports = [1, 2, 3, 4].map(|daemon| (daemon, report));
/// let mut policy = ReadingPolicy::default();
/// assert_eq!(policy.observe(&reports, 80, MonoTime::from_millis(0)), None);
/// assert_eq!(policy.observe(&reports, 95, MonoTime::from_millis(3_000)), Some(7));
/// assert_eq!(policy.observe(&reports, 95, MonoTime::from_millis(6_000)), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReadingPolicy {
    revisions: SeenRevisions,
    relies_on_copies: bool,
}

impl ReadingPolicy {
    /// Evaluates one read of the reports, each with the number of its daemon, from a store at
    /// `revision`. Returns the revision of the latest version that is copied, or `None` if the
    /// daemon has to read the document itself.
    pub fn observe(
        &mut self,
        reports: &[(u64, DocumentReport)],
        revision: u64,
        now: MonoTime,
    ) -> Option<u64> {
        self.revisions.record(revision, now, BEHIND_MAX_MS);
        let floor = self.revisions.before(now, BEHIND_MAX_MS);
        let is_current =
            |report: &DocumentReport| report.copied > 0 && Some(report.followed) >= floor;
        let current = reports.iter().filter(|(_, report)| is_current(report));
        let mut daemons: Vec<u64> = current.clone().map(|(daemon, _)| *daemon).collect();
        daemons.sort_unstable();
        daemons.dedup();
        let least = if self.relies_on_copies {
            PUBLISHERS_TO_GO_ON
        } else {
            PUBLISHERS_TO_BEGIN
        };
        self.relies_on_copies = floor.is_some() && daemons.len() >= least;
        let copied = current.map(|(_, report)| report.copied).max();
        copied.filter(|_| self.relies_on_copies)
    }
}
