//! Changes to the document.

use std::thread;
use std::time::Duration;

use error_stack::Report;
use tracing::warn;

use crate::context::DaemonContext;
use crate::context::MonoClock;
use crate::context::StoreKeys;
use crate::document::ActiveDocument;
use crate::document::CellCountCheck;
use crate::document::ChangeOutcome;
use sapphirestile_clients::store::CommitAnswer;
use sapphirestile_clients::store::StoreCommit;
use sapphirestile_clients::store::StoreError;
use sapphirestile_clients::store::StoreGuard;
use sapphirestile_clients::store::StoreWrite;
use sapphirestile_clients::store::StoredRow;
use sapphirestile_core::ConfigRevision;
use sapphirestile_core::DocumentCycle;
use sapphirestile_core::DocumentEdit;
use sapphirestile_core::ZoneName;
use sapphirestile_wire::api::AuthorName;
use sapphirestile_wire::api::DocumentChange;
use sapphirestile_wire::api::StoredDocument;
use sapphirestile_wire::api::WriteStatus;
use sapphirestile_wire::api::ZoneChange;

const READ_BACK_ATTEMPTS: u32 = 5;
const READ_BACK_PAUSE: Duration = Duration::from_millis(200);
const EDIT_ATTEMPTS: u32 = 5;

/// Checks changes to the document and writes them to the store.
pub struct DocumentWriter<'c> {
    context: &'c DaemonContext,
}

impl<'c> DocumentWriter<'c> {
    /// A writer for the daemon of `context`.
    #[must_use]
    pub const fn new(context: &'c DaemonContext) -> Self {
        Self { context }
    }

    /// Checks a change and, unless it is a dry run, writes it to the store.
    #[must_use]
    pub fn change(&self, change: &DocumentChange) -> ChangeOutcome {
        let checked = match DocumentCycle::draft(&change.text).check() {
            Ok(checked) => checked,
            Err(fault) => return ChangeOutcome::Refused(fault),
        };
        let current = match self.read() {
            Ok(current) => current,
            Err(error) => return ChangeOutcome::NotRun(error.to_string()),
        };
        let vms = self.context.vms.load();
        let check = CellCountCheck::new(&current, &vms);
        if let Err(fault) = check.check(checked.document()) {
            return ChangeOutcome::Refused(fault);
        }
        if change.dry_run {
            return ChangeOutcome::Checked;
        }
        let stored = StoredDocument::successor(current.stored(), change, MonoClock::unix_millis());
        self.write(&stored, change.based_on)
    }

    /// Sets the state of a zone, regardless of other changes since the operator last saw the
    /// document.
    #[must_use]
    pub fn change_zone(&self, zone: &ZoneName, change: &ZoneChange) -> ChangeOutcome {
        let edit = DocumentEdit::SetZone {
            zone: zone.clone(),
            state: change.state,
        };
        self.edit(&edit, &change.author)
    }

    /// Applies one edit to the document in the store, and again to the new document if
    /// another change is written first.
    #[must_use]
    pub fn edit(&self, edit: &DocumentEdit, author: &AuthorName) -> ChangeOutcome {
        let mut outcome = ChangeOutcome::Unknown;
        for _ in 0..EDIT_ATTEMPTS {
            let current = match self.read() {
                Ok(current) => current,
                Err(error) => return ChangeOutcome::NotRun(error.to_string()),
            };
            let text = match edit.rewrite(current.text()) {
                Ok(text) => text,
                Err(fault) => return ChangeOutcome::Refused(fault),
            };
            outcome = self.change(&DocumentChange {
                based_on: current.revision(),
                text,
                author: author.clone(),
                dry_run: false,
            });
            if !matches!(outcome, ChangeOutcome::Conflict(_)) {
                break;
            }
        }
        outcome
    }

    fn write(&self, stored: &StoredDocument, based_on: ConfigRevision) -> ChangeOutcome {
        let value = stored.to_bytes();
        let guards = [StoreGuard {
            key: StoreKeys::DOCUMENT,
            revision: based_on.get(),
        }];
        let writes = [StoreWrite::Put {
            key: StoreKeys::DOCUMENT,
            value: &value,
            lease: None,
        }];
        let commit = StoreCommit {
            guards: &guards,
            writes: &writes,
        };
        let committed = self.context.store.commit(&commit);
        match committed.map_err(|error| *error.current_context()) {
            Ok(CommitAnswer::Done(revision)) => self.accept(stored, revision),
            Err(StoreError::NotRun) => {
                ChangeOutcome::NotRun("the store was not reached".to_owned())
            }
            Ok(CommitAnswer::Beaten) | Err(StoreError::Unknown) => self.read_back(stored),
        }
    }

    fn accept(&self, stored: &StoredDocument, revision: u64) -> ChangeOutcome {
        let revision = ConfigRevision::new(revision);
        publish(self.context, stored.clone(), revision);
        ChangeOutcome::Accepted(revision)
    }

    /// Determines whether a write took effect that failed its compare-and-swap or whose
    /// response was lost. It may have taken effect and have been replaced since.
    fn read_back(&self, stored: &StoredDocument) -> ChangeOutcome {
        for _ in 0..READ_BACK_ATTEMPTS {
            if let Ok(Some(row)) = self.read_row() {
                match write_status_in(&row, stored) {
                    WriteStatus::Written(revision) => return self.accept(stored, revision.get()),
                    WriteStatus::Conflict => return conflict_with(&row),
                    // The write may still arrive at the store.
                    WriteStatus::Unknown => {}
                }
            }
            thread::sleep(READ_BACK_PAUSE);
        }
        ChangeOutcome::Unknown
    }

    fn read(&self) -> Result<ActiveDocument, Report<StoreError>> {
        let row = self.read_row()?;
        let read = row.and_then(|row| read_document(&row));
        Ok(read.unwrap_or_default())
    }

    fn read_row(&self) -> Result<Option<StoredRow>, Report<StoreError>> {
        let range = self.context.store.read(StoreKeys::DOCUMENT)?;
        self.context
            .store_contact
            .record_answer(self.context.clock.now());
        Ok(range
            .rows
            .into_iter()
            .find(|row| row.key == StoreKeys::DOCUMENT))
    }
}

/// Puts a document in force, unless one of the same or a higher revision already is.
pub(crate) fn publish(context: &DaemonContext, stored: StoredDocument, revision: ConfigRevision) {
    match ActiveDocument::parse(stored, revision) {
        Ok(document) => context
            .document
            .update(|current| current.later(&document).clone()),
        Err(fault) => {
            warn!(step = "read configuration", peer = "store", %revision, %fault, "ignored an invalid document");
        }
    }
}

fn read_document(row: &StoredRow) -> Option<ActiveDocument> {
    let stored = StoredDocument::try_from(row.value.as_slice()).ok()?;
    ActiveDocument::parse(stored, ConfigRevision::new(row.revision)).ok()
}

fn write_status_in(row: &StoredRow, write: &StoredDocument) -> WriteStatus {
    let Ok(known) = StoredDocument::try_from(row.value.as_slice()) else {
        return WriteStatus::Unknown;
    };
    known.write_status(write, ConfigRevision::new(row.revision))
}

fn conflict_with(row: &StoredRow) -> ChangeOutcome {
    read_document(row).map_or(ChangeOutcome::Unknown, |current| {
        ChangeOutcome::Conflict(current.view())
    })
}
