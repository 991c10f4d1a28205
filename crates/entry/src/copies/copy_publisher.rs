//! Stores a copy of the operators' document.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::context::EntryContext;
use crate::ports::CommitAnswer;
use crate::ports::RowWrite;
use crate::ports::StoreCommit;
use crate::ports::StoredRow;
use crate::store::DocumentCopy;
use crate::store::RowKeys;
use crate::watching::RetryBackoff;

/// The timeout of a call that stores a copy.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// The number of calls that store a copy with the delays of an ordinary retry.
const QUICK_CALLS: u32 = 20;

/// The delay after each further call.
const LATER_DELAY: Duration = Duration::from_secs(2);

/// Stores a copy of one version of the operators' document.
///
/// The key of a copy names its version, so all daemons that copy a version write the same row,
/// and a call that is carried out late replaces nothing.
pub struct CopyPublisher {
    context: Arc<EntryContext>,
    /// The revision of the version.
    revision: u64,
    commit: StoreCommit,
}

impl CopyPublisher {
    /// Stores a copy on a thread of its own. Returns whether there is one.
    pub fn spawn(context: Arc<EntryContext>, version: StoredRow) -> bool {
        let spawned = thread::Builder::new()
            .name("copy document".to_owned())
            .spawn(move || Self::new(context, &version).run());
        if let Err(error) = &spawned {
            tracing::error!(%error, "failed to spawn the thread that copies the document");
        }
        spawned.is_ok()
    }

    fn new(context: Arc<EntryContext>, version: &StoredRow) -> Self {
        let revision = version.revision;
        let value = DocumentCopy::encode(&version.value);
        let earlier = context.copies.report().copied;
        let is_replaced = earlier != 0 && earlier < revision;
        tracing::info!(
            revision,
            bytes = version.value.len(),
            copied_bytes = value.len(),
            "copies the document"
        );
        let commit = StoreCommit {
            guards: Vec::new(),
            writes: vec![RowWrite {
                key: RowKeys::document_copy(revision),
                value,
            }],
            removals: if is_replaced {
                vec![RowKeys::document_copy(earlier)]
            } else {
                Vec::new()
            },
        };
        Self {
            context,
            revision,
            commit,
        }
    }

    /// Calls until the copy is stored, by this daemon or another one, or a later version is
    /// known.
    fn run(self) {
        let mut backoff = RetryBackoff::default();
        let mut calls = 0;
        while !self.is_over() {
            let started = Instant::now();
            let result = self.context.store.commit(&self.commit, STORE_TIMEOUT);
            self.context.record_store_result(&result);
            if let Ok(CommitAnswer::Stored { .. }) = result {
                self.context.copies.record_copied(self.revision);
                return;
            }
            calls += 1;
            if calls < QUICK_CALLS {
                thread::sleep(backoff.remaining_delay(started.elapsed()));
            } else {
                thread::sleep(LATER_DELAY);
            }
        }
    }

    fn is_over(&self) -> bool {
        let copies = &self.context.copies;
        let is_copied = copies.report().copied >= self.revision;
        self.context.is_stopping() || copies.read() > self.revision || is_copied
    }
}
