//! What the threads of a daemon share about copies of the operators' document.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use crossbeam::channel::bounded;
use sapphirestile_serving::RcuValue;

use crate::copies::own_progress::OwnProgress;
use crate::store::DocumentReport;

/// What the threads of a daemon share about copies of the operators' document.
#[derive(Debug)]
pub struct DocumentCopies {
    /// The latest version that is copied; 0 while too few owners follow the document.
    wanted: AtomicU64,
    /// Whether this daemon relies on copies.
    is_relied_on: AtomicBool,
    /// The latest version that this daemon has read from a copy.
    taken: AtomicU64,
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
            is_relied_on: AtomicBool::default(),
            taken: AtomicU64::default(),
            publishes: AtomicBool::default(),
            own: RcuValue::default(),
            wake,
            woken,
        }
    }
}

impl DocumentCopies {
    /// Whether this daemon relies on copies.
    #[must_use]
    pub fn is_relied_on(&self) -> bool {
        self.is_relied_on.load(Ordering::Acquire)
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

    /// Sets what this daemon does, and the latest version that is copied; `None` while too
    /// few owners follow the document. An owner reads the document itself, and takes a copy
    /// that arrives earlier.
    pub fn decide(&self, is_owner: bool, publishes: bool, copied: Option<u64>) {
        self.publishes.store(publishes, Ordering::Release);
        let relies = copied.is_some() && !is_owner;
        if self.is_relied_on.swap(relies, Ordering::AcqRel) != relies {
            tracing::info!(relies, is_owner, "reading of the document changes");
        }
        let wanted = copied.unwrap_or(0);
        if wanted > self.wanted.swap(wanted, Ordering::AcqRel) {
            // A full channel has woken the reader already.
            let _ = self.wake.try_send(());
        }
    }

    /// The latest version that is copied and not known here.
    #[must_use]
    pub fn wanted(&self) -> Option<u64> {
        let known = self.taken.load(Ordering::Acquire).max(self.own.load().read);
        let wanted = self.wanted.load(Ordering::Acquire);
        (wanted > known).then_some(wanted)
    }

    /// Records that a version was read from a copy.
    pub fn record_taken(&self, revision: u64) {
        self.taken.fetch_max(revision, Ordering::AcqRel);
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

    /// The latest version that this daemon has read itself; 0 before the first.
    #[must_use]
    pub fn read(&self) -> u64 {
        self.own.load().read
    }

    /// Waits until the wanted version may have changed, for `wait` at most.
    pub fn wait(&self, wait: Duration) {
        // The outcome does not matter: the caller looks at the wanted version.
        let _ = self.woken.recv_timeout(wait);
    }
}
