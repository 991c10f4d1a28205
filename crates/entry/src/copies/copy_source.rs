//! Source of the copies of the operators' document.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use crate::context::EntryContext;
use crate::copies::missed_reads::MissedReads;
use crate::ports::EventListing;
use crate::ports::EventSource;
use crate::ports::ListTimeouts;
use crate::ports::RowChange;
use crate::ports::StoreCallError;
use crate::ports::StoredRow;
use crate::store::DocumentCopy;
use crate::store::RowKeys;

/// The longest wait for the next bytes of a copy, which may be large for its link.
const READ_PAUSE: Duration = Duration::from_millis(1_500);

/// The wait after a read that found no copy: a later version has replaced it, and will be
/// reported.
const MISSING_WAIT: Duration = Duration::from_millis(400);

/// The number of reads that find no readable copy of a version before this daemon reads the
/// document itself.
const MISSING_MAX: u64 = 5;

/// Reads each new version of the operators' document from its copy, as a change of the
/// document itself.
pub struct CopySource {
    context: Arc<EntryContext>,
    document_key: Box<str>,
    missed: Mutex<MissedReads>,
}

impl CopySource {
    /// Creates the source of copies of the document with the key `document_key`.
    #[must_use]
    pub fn new(context: Arc<EntryContext>, document_key: &str) -> Self {
        Self {
            context,
            document_key: document_key.into(),
            missed: Mutex::default(),
        }
    }

    /// Waits after a read that found no readable copy of a version, or gives the copy up.
    fn miss(&self, revision: u64) {
        let copies = &self.context.copies;
        let mut missed = self.missed.lock().unwrap_or_else(PoisonError::into_inner);
        let reads = missed.count(revision);
        drop(missed);
        if reads < MISSING_MAX {
            copies.wait(MISSING_WAIT);
            return;
        }
        tracing::error!(
            revision,
            "no readable copy of the document; reading it itself"
        );
        copies.record_unreadable(revision);
    }

    /// Reads a row, which may take long as long as it goes on. One that is too large counts as
    /// missing.
    fn read_row(&self, key: &str) -> Result<Option<StoredRow>, StoreCallError> {
        let timeouts = ListTimeouts::each_pause(READ_PAUSE);
        let result = self.context.store.list(key, timeouts);
        self.context.record_store_result(&result);
        match result {
            Ok(listing) => Ok(listing.rows.into_iter().find(|row| row.key == key)),
            Err(StoreCallError::AnswerTooLarge) => Ok(None),
            Err(fault) => Err(fault),
        }
    }

    /// Reads the copy of a version; `None` if there is none, or it cannot be read.
    fn read(&self, revision: u64) -> Result<Option<StoredRow>, StoreCallError> {
        let started = Instant::now();
        let Some(row) = self.read_row(&RowKeys::document_copy(revision))? else {
            return Ok(None);
        };
        let Some(value) = DocumentCopy::decode(&row.value) else {
            tracing::error!(revision, "cannot decode a copy of the document");
            return Ok(None);
        };
        tracing::info!(
            revision,
            bytes = value.len(),
            copied_bytes = row.value.len(),
            took = ?started.elapsed(),
            "read a copy of the document"
        );
        Ok(Some(StoredRow {
            key: self.document_key.to_string(),
            value,
            revision,
        }))
    }
}

impl EventSource<RowChange> for CopySource {
    fn name(&self) -> &'static str {
        "copies"
    }

    fn list(&self) -> Result<EventListing<RowChange>, StoreCallError> {
        self.watch(0, Duration::ZERO)
    }

    fn watch(&self, after: u64, wait: Duration) -> Result<EventListing<RowChange>, StoreCallError> {
        let copies = &self.context.copies;
        if copies.wanted().is_none() {
            copies.wait(wait);
        }
        let mut events = Vec::new();
        if let Some(revision) = copies.wanted() {
            match self.read(revision)? {
                Some(row) => {
                    copies.record_taken(revision);
                    events.push(RowChange::Written(row));
                }
                None => self.miss(revision),
            }
        }
        Ok(EventListing {
            events,
            revision: after,
        })
    }
}
