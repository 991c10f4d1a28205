//! Source of the operators' rows.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::context::EntryContext;
use crate::copies::CopyPublisher;
use crate::ports::EventListing;
use crate::ports::EventSource;
use crate::ports::RowChange;
use crate::ports::StoreCallError;
use crate::ports::StoredRow;

/// How long a watch of the rows beside the document waits at most. The document is watched
/// again only after it.
const OTHERS_WAIT: Duration = Duration::from_millis(500);

/// The delay after a thread could not be created. The version is read again after it.
const SPAWN_DELAY: Duration = Duration::from_secs(1);

/// Lists and watches the operators' rows, without their document while this daemon relies on
/// copies of it.
pub struct DirectSource {
    context: Arc<EntryContext>,
    /// All rows of the operators.
    rows: Arc<dyn EventSource<RowChange>>,
    /// The rows beside the document.
    others: Arc<dyn EventSource<RowChange>>,
    /// The key of the document.
    document_key: Box<str>,
    /// Whether the latest changes were read without the document.
    has_left_out: AtomicBool,
    /// The latest version whose copying was begun; 0 before the first.
    begun: AtomicU64,
}

impl DirectSource {
    /// Creates the source from all rows of the operators and those beside the document with
    /// the key `document_key`.
    #[must_use]
    pub fn new(
        context: Arc<EntryContext>,
        rows: Arc<dyn EventSource<RowChange>>,
        others: Arc<dyn EventSource<RowChange>>,
        document_key: &str,
    ) -> Self {
        Self {
            context,
            rows,
            others,
            document_key: document_key.into(),
            has_left_out: AtomicBool::default(),
            begun: AtomicU64::default(),
        }
    }

    /// Records the version that the changes contain, and copies it for others.
    fn record(&self, listing: &EventListing<RowChange>) {
        let written = |change: &RowChange| match change {
            RowChange::Written(row) if *row.key == *self.document_key => Some(row.clone()),
            _ => None,
        };
        let version: Option<StoredRow> = listing.events.iter().filter_map(written).next_back();
        let copies = &self.context.copies;
        let revision = version.as_ref().map(|row| row.revision);
        copies.record_read(revision, listing.revision);
        let Some(version) = version.filter(|_| copies.publishes()) else {
            return;
        };
        let revision = version.revision;
        let is_copied = copies.report().copied >= revision;
        if is_copied || self.begun.fetch_max(revision, Ordering::AcqRel) >= revision {
            return;
        }
        if !CopyPublisher::spawn(Arc::clone(&self.context), version) {
            thread::sleep(SPAWN_DELAY);
            self.begun.store(0, Ordering::Release);
        }
    }

    fn relies_on_copies(&self) -> bool {
        let now = self.context.clock.now();
        self.context.copies.is_relied_on(now)
    }

    /// Sets whether the changes are read without the document.
    fn set_left_out(&self, relies: bool) {
        if self.has_left_out.swap(relies, Ordering::AcqRel) != relies {
            let is_owner = self.context.copies.is_owner();
            tracing::info!(relies, is_owner, "reading of the document changes");
        }
    }

    /// Up to where all changes are known, the document's too, if those of the other rows are
    /// known up to `after`.
    fn known(&self, after: u64) -> u64 {
        if self.has_left_out.load(Ordering::Acquire) {
            after.min(self.context.copies.covered())
        } else {
            after
        }
    }

    /// Whether this daemon has to copy a version that it read before it owned a cell.
    fn has_to_copy(&self) -> bool {
        let copies = &self.context.copies;
        let read = copies.read();
        let is_begun = self.begun.load(Ordering::Acquire) >= read;
        copies.publishes() && copies.report().copied < read && !is_begun
    }
}

impl EventSource<RowChange> for DirectSource {
    fn name(&self) -> &str {
        self.rows.name()
    }

    fn list(&self) -> Result<EventListing<RowChange>, StoreCallError> {
        if self.relies_on_copies() {
            self.set_left_out(true);
            return self.others.list();
        }
        let listing = self.rows.list()?;
        self.set_left_out(false);
        self.record(&listing);
        Ok(listing)
    }

    fn watch(&self, after: u64, wait: Duration) -> Result<EventListing<RowChange>, StoreCallError> {
        if self.relies_on_copies() {
            self.set_left_out(true);
            return self.others.watch(after, wait.min(OTHERS_WAIT));
        }
        if self.has_to_copy() {
            return Err(StoreCallError::HistoryGone);
        }
        let listing = self.rows.watch(self.known(after), wait)?;
        self.set_left_out(false);
        self.record(&listing);
        Ok(listing)
    }
}
