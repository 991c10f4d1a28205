//! Changes of the configuration.

use std::thread;
use std::time::Duration;

use error_stack::Report;
use tracing::warn;

use crate::context::DaemonContext;
use crate::context::MonoClock;
use crate::context::StoreKeys;
use crate::document::CellsCheck;
use crate::document::ChangeOutcome;
use crate::document::InForceDocument;
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

const READ_BACK_TRIES: u32 = 5;
const READ_BACK_PAUSE: Duration = Duration::from_millis(200);
const EDIT_TRIES: u32 = 5;

/// Writes changes of the configuration.
pub struct DocumentWriter<'c> {
    context: &'c DaemonContext,
}

impl<'c> DocumentWriter<'c> {
    /// A writer for one daemon.
    #[must_use]
    pub const fn new(context: &'c DaemonContext) -> Self {
        Self { context }
    }

    /// Takes a change through its check and into the store.
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
        let check = CellsCheck::new(&current, &vms);
        if let Err(fault) = check.check(checked.document()) {
            return ChangeOutcome::Refused(fault);
        }
        if change.dry_run {
            return ChangeOutcome::Checked;
        }
        let stored = StoredDocument::successor(current.stored(), change, MonoClock::unix_millis());
        self.write(&stored, change.based_on)
    }

    /// Takes a zone out or returns it, whatever else was changed meanwhile.
    #[must_use]
    pub fn change_zone(&self, zone: &ZoneName, change: &ZoneChange) -> ChangeOutcome {
        let edit = DocumentEdit::SetZone {
            zone: zone.clone(),
            state: change.state,
        };
        self.edit(&edit, &change.author)
    }

    /// Makes one edit, whatever else was changed meanwhile.
    #[must_use]
    pub fn edit(&self, edit: &DocumentEdit, author: &AuthorName) -> ChangeOutcome {
        let mut outcome = ChangeOutcome::Unknown;
        for _ in 0..EDIT_TRIES {
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

    /// Finds out what became of a write that was beaten, or whose answer was
    /// lost. It may have taken effect and have been replaced since.
    fn read_back(&self, stored: &StoredDocument) -> ChangeOutcome {
        for _ in 0..READ_BACK_TRIES {
            if let Ok(Some(row)) = self.read_row() {
                match fate_in(&row, stored) {
                    WriteStatus::Written(revision) => return self.accept(stored, revision.get()),
                    WriteStatus::Conflict => return conflict_with(&row),
                    // The write may be on its way.
                    WriteStatus::Unknown => {}
                }
            }
            thread::sleep(READ_BACK_PAUSE);
        }
        ChangeOutcome::Unknown
    }

    fn read(&self) -> Result<InForceDocument, Report<StoreError>> {
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

/// Puts a document in force, unless a later one already is.
pub(crate) fn publish(context: &DaemonContext, stored: StoredDocument, revision: ConfigRevision) {
    match InForceDocument::read(stored, revision) {
        Ok(document) => context
            .document
            .update(|current| current.later(&document).clone()),
        Err(fault) => {
            warn!(step = "read configuration", peer = "store", %revision, %fault, "document refused");
        }
    }
}

fn read_document(row: &StoredRow) -> Option<InForceDocument> {
    let stored = StoredDocument::try_from(row.value.as_slice()).ok()?;
    InForceDocument::read(stored, ConfigRevision::new(row.revision)).ok()
}

fn fate_in(row: &StoredRow, write: &StoredDocument) -> WriteStatus {
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
