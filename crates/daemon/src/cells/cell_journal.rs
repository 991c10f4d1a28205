//! The journal of a cell in the store.

use std::sync::Arc;

use error_stack::Report;
use error_stack::ResultExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tracing::warn;

use crate::cells::HeadRecord;
use crate::cells::JournalCommit;
use crate::cells::JournalOutcome;
use crate::cells::LoadedCell;
use crate::context::StoreKeys;
use sapphirestile_cells::CellState;
use sapphirestile_cells::JournalEntry;
use sapphirestile_clients::store::CommitAnswer;
use sapphirestile_clients::store::StoreClient;
use sapphirestile_clients::store::StoreCommit;
use sapphirestile_clients::store::StoreError;
use sapphirestile_clients::store::StoreGuard;
use sapphirestile_clients::store::StoreWrite;
use sapphirestile_clients::store::StoredRange;
use sapphirestile_clients::store::StoredRow;
use sapphirestile_core::CellNumber;
use sapphirestile_core::JournalSequence;
use sapphirestile_core::StepError;

const PEER: &str = "store";
const SNAPSHOT_MAX_BYTES: usize = 1_000_000;

/// Reads and writes the journal of one cell.
///
/// Every commit replaces the head row and is conditional on that row's revision. This
/// fences off former owners: once another daemon has written an entry, the revision
/// known here is outdated and all further commits fail.
pub struct CellJournal {
    store: Arc<dyn StoreClient>,
    cell: CellNumber,
    head_revision: u64,
}

impl CellJournal {
    /// Creates a journal of `cell` whose head row has the revision `head_revision`, as
    /// read by [`Self::load`]; 0 when the row does not exist yet.
    #[must_use]
    pub const fn new(store: Arc<dyn StoreClient>, cell: CellNumber, head_revision: u64) -> Self {
        Self {
            store,
            cell,
            head_revision,
        }
    }

    /// Reads a cell: folds its snapshot and the entries after it into a state.
    ///
    /// # Errors
    ///
    /// When the read of the store fails, or a snapshot or an entry cannot be decoded.
    pub fn load(
        store: &dyn StoreClient,
        cell: CellNumber,
    ) -> Result<LoadedCell, Report<StepError>> {
        let failed = || StepError::new("load cell", PEER);
        let range = store
            .read(&StoreKeys::cell(cell))
            .change_context_lazy(failed)?;
        let head_key = StoreKeys::head(cell);
        let head = range.rows.iter().find(|row| row.key == head_key);
        let state = fold_rows(cell, &range)?;
        Ok(LoadedCell {
            state,
            head_revision: head.map_or(0, |row| row.revision),
        })
    }

    /// Makes one attempt to commit an entry.
    ///
    /// # Errors
    ///
    /// When the outcome is still unknown. Call this again with the same commit until it
    /// returns an outcome.
    pub fn try_commit(
        &mut self,
        commit: &JournalCommit,
    ) -> Result<JournalOutcome, Report<StepError>> {
        let failed = || StepError::new("commit journal entry", PEER);
        match self.commit(commit).change_context_lazy(failed)? {
            CommitAnswer::Done(revision) => {
                self.head_revision = revision;
                Ok(JournalOutcome::Done)
            }
            CommitAnswer::Beaten => self.resolve_rejection(commit).change_context_lazy(failed),
        }
    }

    fn commit(&self, commit: &JournalCommit) -> Result<CommitAnswer, Report<StoreError>> {
        let sequence = commit.entry.sequence;
        let head_key = StoreKeys::head(self.cell);
        let entry_key = StoreKeys::entry(self.cell, sequence);
        let first_key = StoreKeys::entry(self.cell, JournalSequence::new(0));
        let snapshot_key = StoreKeys::snapshot(self.cell);
        let head = encode(&HeadRecord::of(&commit.entry));
        let entry = encode(&commit.entry);
        let snapshot = commit
            .snapshot
            .as_ref()
            .map(encode)
            .filter(|value| fits_row(self.cell, value));

        let mut guards = vec![StoreGuard {
            key: &head_key,
            revision: self.head_revision,
        }];
        if let Some(revision) = commit.config_revision {
            guards.push(StoreGuard {
                key: StoreKeys::DOCUMENT,
                revision: revision.get(),
            });
        }
        let mut writes = vec![
            StoreWrite::Put {
                key: &head_key,
                value: &head,
                lease: None,
            },
            StoreWrite::Put {
                key: &entry_key,
                value: &entry,
                lease: None,
            },
        ];
        if let Some(value) = &snapshot {
            writes.push(StoreWrite::Put {
                key: &snapshot_key,
                value,
                lease: None,
            });
            writes.push(StoreWrite::DeleteRange {
                first: &first_key,
                end: &entry_key,
            });
        }
        self.store.commit(&StoreCommit {
            guards: &guards,
            writes: &writes,
        })
    }

    /// Finds out why the store rejected a commit. Either an earlier attempt of the same
    /// commit took effect and its response was lost, or the configuration changed, or
    /// another daemon claimed the cell.
    fn resolve_rejection(
        &mut self,
        commit: &JournalCommit,
    ) -> Result<JournalOutcome, Report<StoreError>> {
        let key = StoreKeys::head(self.cell);
        let range = self.store.read(&key)?;
        let row = range.rows.into_iter().find(|row| row.key == key);
        let revision = row.as_ref().map_or(0, |row| row.revision);
        if revision == self.head_revision {
            return Ok(JournalOutcome::ConfigMoved);
        }
        let head = row.and_then(|row| decode::<HeadRecord>(&row.value));
        if head == Some(HeadRecord::of(&commit.entry)) {
            self.head_revision = revision;
            return Ok(JournalOutcome::Done);
        }
        self.resolve_deposed(commit)
    }

    /// Finds out whether the entry is in the journal, after another daemon has written
    /// to it. An earlier attempt of this commit may have succeeded before that.
    fn resolve_deposed(
        &self,
        commit: &JournalCommit,
    ) -> Result<JournalOutcome, Report<StoreError>> {
        let key = StoreKeys::entry(self.cell, commit.entry.sequence);
        let range = self.store.read(&key)?;
        let entry = range
            .rows
            .first()
            .and_then(|row| decode::<JournalEntry>(&row.value));
        Ok(match entry {
            Some(entry) if !entry.same_write(&commit.entry) => JournalOutcome::Beaten,
            // The entry is in the journal, or a snapshot has replaced the entries up to it, so
            // that its writer is no longer known.
            Some(_) | None => JournalOutcome::Deposed,
        })
    }
}

/// Whether a snapshot fits into a row of the store.
///
/// A larger one is omitted and the entries before it are kept: the cell continues, only
/// its recovery takes longer.
fn fits_row(cell: CellNumber, snapshot: &[u8]) -> bool {
    let fits = snapshot.len() <= SNAPSHOT_MAX_BYTES;
    if !fits {
        let bytes = snapshot.len();
        warn!(step = "write snapshot", peer = PEER, %cell, bytes, "snapshot exceeds the row size limit; keeping the journal entries instead");
    }
    fits
}

fn fold_rows(cell: CellNumber, range: &StoredRange) -> Result<CellState, Report<StepError>> {
    let undecodable = || Report::new(StepError::new("decode journal", PEER));
    let snapshot_key = StoreKeys::snapshot(cell);
    let snapshot = range.rows.iter().find(|row| row.key == snapshot_key);
    let mut state = match snapshot {
        Some(row) => decode::<CellState>(&row.value).ok_or_else(undecodable)?,
        None => CellState::default(),
    };
    for row in range.rows.iter().filter(|row| is_entry(cell, row)) {
        let entry = decode::<JournalEntry>(&row.value).ok_or_else(undecodable)?;
        if entry.sequence > state.sequence() {
            state.fold(&entry);
        }
    }
    Ok(state)
}

fn is_entry(cell: CellNumber, row: &StoredRow) -> bool {
    let prefix = StoreKeys::cell(cell);
    row.key
        .strip_prefix(&prefix)
        .is_some_and(|rest| rest.starts_with("journal/"))
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("journal rows are always encodable")
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}
