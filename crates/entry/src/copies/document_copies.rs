//! What the threads of a daemon share about copies of the operators' document.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use crossbeam::channel::bounded;
use sapphirestile_core::MonoTime;
use sapphirestile_serving::RcuValue;

use crate::copies::own_progress::OwnProgress;
use crate::store::DocumentReport;

/// How long a decision to rely on copies holds without a later one, in milliseconds.
const DECISION_MS: u64 = 2_000;

/// What the threads of a daemon share about copies of the operators' document.
#[derive(Debug)]
pub struct DocumentCopies {
    /// The latest version that is copied; 0 while too few owners follow the document.
    wanted: AtomicU64,
    /// The latest version whose copy cannot be read; 0 if there is none.
    unreadable: AtomicU64,
    /// Until when the latest decision holds, in milliseconds of the daemon's clock.
    decided_until_ms: AtomicU64,
    is_owner: AtomicBool,
    /// Whether this daemon copies the document for others.
    publishes: AtomicBool,
    own: RcuValue<OwnProgress>,
    wake: Sender<()>,
    woken: Receiver<()>,
}

impl Default for DocumentCopies {
    fn default() -> Self {
        let (wake, woken) = bounded(1);
        Self {
            wanted: AtomicU64::default(),
            unreadable: AtomicU64::default(),
            decided_until_ms: AtomicU64::default(),
            is_owner: AtomicBool::default(),
            publishes: AtomicBool::default(),
            own: RcuValue::default(),
            wake,
            woken,
        }
    }
}

impl DocumentCopies {
    /// Whether this daemon relies on copies. An owner does not: it reads the document itself,
    /// and takes a copy that arrives earlier. Reliance ends without decisions, and with a copy
    /// that cannot be read, until a later one can be.
    #[must_use]
    pub fn is_relied_on(&self, now: MonoTime) -> bool {
        let decided_until_ms = self.decided_until_ms.load(Ordering::Acquire);
        let is_decided = now.as_millis() < decided_until_ms;
        is_decided && self.wanted.load(Ordering::Acquire) > self.unreadable() && !self.is_owner()
    }

    /// Whether this daemon owns a cell.
    #[must_use]
    pub fn is_owner(&self) -> bool {
        self.is_owner.load(Ordering::Acquire)
    }

    /// Whether this daemon copies the document for others.
    #[must_use]
    pub fn publishes(&self) -> bool {
        self.publishes.load(Ordering::Acquire)
    }

    /// What this daemon reports in the ownership rows of its cells.
    #[must_use]
    pub fn report(&self) -> DocumentReport {
        self.own.load().report
    }

    /// Sets whether this daemon owns a cell, and whether it copies the document for others.
    pub fn set_role(&self, is_owner: bool, publishes: bool) {
        self.is_owner.store(is_owner, Ordering::Release);
        self.publishes.store(publishes, Ordering::Release);
    }

    /// Sets the latest version that is copied; `None` while too few owners follow the
    /// document.
    pub fn decide(&self, copied: Option<u64>, now: MonoTime) {
        let until = now.plus_millis(DECISION_MS);
        self.decided_until_ms
            .store(until.as_millis(), Ordering::Release);
        let wanted = copied.unwrap_or(0);
        if wanted > self.wanted.swap(wanted, Ordering::AcqRel) {
            // A full channel has woken the reader already.
            let _ = self.wake.try_send(());
        }
    }

    /// The latest version that is copied and not known here.
    #[must_use]
    pub fn wanted(&self) -> Option<u64> {
        let wanted = self.wanted.load(Ordering::Acquire);
        let known = self.read().max(self.unreadable());
        (wanted > known).then_some(wanted)
    }

    /// Records that the copy of a version cannot be read.
    pub fn record_unreadable(&self, revision: u64) {
        self.unreadable.fetch_max(revision, Ordering::AcqRel);
    }

    fn unreadable(&self) -> u64 {
        self.unreadable.load(Ordering::Acquire)
    }

    /// Records that a version was read from a copy.
    pub fn record_taken(&self, revision: u64) {
        self.own
            .update(|own| own.with_read(Some(revision), 0).with_copied(revision));
    }

    /// Records that all changes up to `seen` are known, the latest of which wrote the version
    /// `read` if there is one.
    pub fn record_read(&self, read: Option<u64>, seen: u64) {
        self.own.update(|own| own.with_read(read, seen));
    }

    /// Records that a version is copied.
    pub fn record_copied(&self, revision: u64) {
        self.own.update(|own| own.with_copied(revision));
    }

    /// Records what an owner reports. It says nothing about a version that is not known here.
    pub fn record_report(&self, report: DocumentReport) {
        if report.copied != 0 && report.copied <= self.read() {
            self.own.update(|own| own.with_report(report));
        }
    }

    /// The latest version that this daemon knows; 0 before the first.
    #[must_use]
    pub fn read(&self) -> u64 {
        self.own.load().read
    }

    /// Up to where this daemon has missed no version.
    #[must_use]
    pub fn covered(&self) -> u64 {
        self.own.load().covered
    }

    /// Waits until the wanted version may have changed, for `wait` at most.
    pub fn wait(&self, wait: Duration) {
        // The outcome does not matter: the caller looks at the wanted version.
        let _ = self.woken.recv_timeout(wait);
    }
}
