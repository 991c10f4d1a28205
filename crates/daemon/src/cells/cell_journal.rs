//! The journal of a cell in the store.

use std::sync::Arc;

use error_stack::Report;
use error_stack::ResultExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tracing::warn;

use crate::cells::HeadRecord;
use crate::cells::JournalBatch;
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
/// Every commit replaces the head row and is guarded by its revision. That is
/// the fence: once another daemon has written an entry, the revision that this
/// one knows is old for good.
pub struct CellJournal {
    store: Arc<dyn StoreClient>,
    cell: CellNumber,
    head: u64,
}

impl CellJournal {
    /// The journal of `cell`, whose head row has the revision `head`.
    #[must_use]
    pub const fn new(store: Arc<dyn StoreClient>, cell: CellNumber, head: u64) -> Self {
        Self { store, cell, head }
    }

    /// Reads a cell: its snapshot and the entries after it.
    ///
    /// # Errors
    ///
    /// When the store was not reached, or holds what is no journal.
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
            head: head.map_or(0, |row| row.revision),
        })
    }

    /// Tries once to commit an entry.
    ///
    /// # Errors
    ///
    /// When its outcome is not certain yet; the same batch has to be tried again
    /// until it is.
    pub fn try_commit(
        &mut self,
        batch: &JournalBatch,
    ) -> Result<JournalOutcome, Report<StepError>> {
        let failed = || StepError::new("commit journal entry", PEER);
        match self.commit(batch).change_context_lazy(failed)? {
            CommitAnswer::Done(revision) => {
                self.head = revision;
                Ok(JournalOutcome::Done)
            }
            CommitAnswer::Beaten => self.settle(batch).change_context_lazy(failed),
        }
    }

    fn commit(&self, batch: &JournalBatch) -> Result<CommitAnswer, Report<StoreError>> {
        let sequence = batch.entry.sequence;
        let head_key = StoreKeys::head(self.cell);
        let entry_key = StoreKeys::entry(self.cell, sequence);
        let first_key = StoreKeys::entry(self.cell, JournalSequence::new(0));
        let snapshot_key = StoreKeys::snapshot(self.cell);
        let head = encode(&HeadRecord::of(&batch.entry));
        let entry = encode(&batch.entry);
        let snapshot = batch
            .snapshot
            .as_ref()
            .map(encode)
            .filter(|value| fits_row(self.cell, value));

        let mut guards = vec![StoreGuard {
            key: &head_key,
            revision: self.head,
        }];
        if let Some(revision) = batch.revision {
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

    /// Finds out why a commit was beaten: by itself, when an earlier try of it
    /// took effect and the answer was lost; by the configuration; or by a claim.
    fn settle(&mut self, batch: &JournalBatch) -> Result<JournalOutcome, Report<StoreError>> {
        let key = StoreKeys::head(self.cell);
        let range = self.store.read(&key)?;
        let row = range.rows.into_iter().find(|row| row.key == key);
        let revision = row.as_ref().map_or(0, |row| row.revision);
        if revision == self.head {
            return Ok(JournalOutcome::ConfigMoved);
        }
        let head = row.and_then(|row| decode::<HeadRecord>(&row.value));
        if head == Some(HeadRecord::of(&batch.entry)) {
            self.head = revision;
            return Ok(JournalOutcome::Done);
        }
        self.settle_deposed(batch)
    }

    /// Another daemon has written since. An earlier try of this entry may have
    /// come before it.
    fn settle_deposed(&self, batch: &JournalBatch) -> Result<JournalOutcome, Report<StoreError>> {
        let key = StoreKeys::entry(self.cell, batch.entry.sequence);
        let range = self.store.read(&key)?;
        let entry = range
            .rows
            .first()
            .and_then(|row| decode::<JournalEntry>(&row.value));
        Ok(match entry {
            Some(entry) if !entry.same_write(&batch.entry) => JournalOutcome::Beaten,
            // It is there, or a snapshot has taken its place.
            Some(_) | None => JournalOutcome::Deposed,
        })
    }
}

/// A snapshot that is too large for a row is left out, and the entries before it
/// stay: the cell goes on, only its recovery takes longer.
fn fits_row(cell: CellNumber, snapshot: &[u8]) -> bool {
    let fits = snapshot.len() <= SNAPSHOT_MAX_BYTES;
    if !fits {
        let bytes = snapshot.len();
        warn!(step = "write snapshot", peer = PEER, %cell, bytes, "too large, left out");
    }
    fits
}

fn fold_rows(cell: CellNumber, range: &StoredRange) -> Result<CellState, Report<StepError>> {
    let broken = || Report::new(StepError::new("decode journal", PEER));
    let snapshot_key = StoreKeys::snapshot(cell);
    let snapshot = range.rows.iter().find(|row| row.key == snapshot_key);
    let mut state = match snapshot {
        Some(row) => decode::<CellState>(&row.value).ok_or_else(broken)?,
        None => CellState::default(),
    };
    for row in range.rows.iter().filter(|row| is_entry(cell, row)) {
        let entry = decode::<JournalEntry>(&row.value).ok_or_else(broken)?;
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
    postcard::to_stdvec(value).expect("what a journal holds is always encodable")
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}
