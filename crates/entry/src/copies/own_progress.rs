//! How far this daemon has followed and copied the operators' document.

use crate::store::DocumentReport;

/// How far this daemon has followed the operators' document itself, and which version it
/// knows to be copied. All are revisions of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnProgress {
    /// The latest version that is known; 0 before the first.
    pub read: u64,
    /// Up to where this daemon has read all changes itself.
    pub seen: u64,
    /// Up to where no version was missed, by what owners report too.
    pub covered: u64,
    /// What is reported to the other daemons.
    pub report: DocumentReport,
}

impl OwnProgress {
    /// The progress once all changes up to `seen` are known, the latest of which wrote `read`
    /// if there is one.
    pub fn with_read(self, read: Option<u64>, seen: u64) -> Self {
        Self {
            read: read.map_or(self.read, |read| read.max(self.read)),
            seen: seen.max(self.seen),
            covered: seen.max(self.covered),
            ..self
        }
        .with_followed()
    }

    /// The progress once the version `copied` is known to be copied.
    pub fn with_copied(mut self, copied: u64) -> Self {
        self.report.copied = self.report.copied.max(copied);
        self.with_followed()
    }

    /// The progress with the report of an owner whose version is known here. What others
    /// have followed is not reported as followed by this daemon.
    pub fn with_report(mut self, report: DocumentReport) -> Self {
        self.covered = self.covered.max(report.followed);
        self.with_copied(report.copied)
    }

    /// Without a copy of the version that was read, others have not followed the document.
    const fn with_followed(mut self) -> Self {
        if self.read != 0 && self.report.copied == self.read {
            self.report.followed = self.seen;
        }
        self
    }
}
