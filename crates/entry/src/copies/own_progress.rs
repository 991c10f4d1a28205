//! How far this daemon has followed and copied the operators' document.

use crate::store::DocumentReport;

/// How far this daemon has followed the operators' document itself, and which version it
/// knows to be copied. All are revisions of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnProgress {
    /// The latest version that was read; 0 before the first.
    pub read: u64,
    /// Up to where no later version than that exists.
    pub seen: u64,
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
            ..self
        }
        .with_followed()
    }

    /// The progress once the version `copied` is known to be copied.
    pub fn with_copied(mut self, copied: u64) -> Self {
        self.report.copied = self.report.copied.max(copied);
        self.with_followed()
    }

    /// Without a copy of the version that was read, others have not followed the document.
    const fn with_followed(mut self) -> Self {
        if self.read != 0 && self.report.copied == self.read {
            self.report.followed = self.seen;
        }
        self
    }
}
