//! A store in memory.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use sapphirestile_entry::CommitAnswer;
use sapphirestile_entry::ListTimeouts;
use sapphirestile_entry::RowListing;
use sapphirestile_entry::StoreCallError;
use sapphirestile_entry::StoreCommit;
use sapphirestile_entry::StorePort;
use sapphirestile_entry::StoredRow;

/// The revision of every row.
const REVISION: u64 = 1;

/// A store that answers at once. Its rows are all of one revision.
pub struct MemoryStore {
    rows: Mutex<BTreeMap<String, Vec<u8>>>,
}

impl MemoryStore {
    pub fn with_rows(rows: &[(String, Vec<u8>)]) -> Self {
        let rows = rows.iter().cloned().collect();
        Self {
            rows: Mutex::new(rows),
        }
    }

    /// The keys of all rows.
    pub fn keys(&self) -> Vec<String> {
        self.rows.lock().unwrap().keys().cloned().collect()
    }
}

fn stored(key: &str, value: &[u8]) -> StoredRow {
    StoredRow {
        key: key.to_owned(),
        value: value.to_vec(),
        revision: REVISION,
    }
}

impl StorePort for MemoryStore {
    fn read(&self, key: &str, _: Duration) -> Result<Option<StoredRow>, StoreCallError> {
        let rows = self.rows.lock().unwrap();
        Ok(rows.get(key).map(|value| stored(key, value)))
    }

    fn list(&self, prefix: &str, _: ListTimeouts) -> Result<RowListing, StoreCallError> {
        let rows = self.rows.lock().unwrap();
        let listed = rows.iter().filter(|(key, _)| key.starts_with(prefix));
        Ok(RowListing {
            rows: listed.map(|(key, value)| stored(key, value)).collect(),
            revision: REVISION,
        })
    }

    fn commit(&self, commit: &StoreCommit, _: Duration) -> Result<CommitAnswer, StoreCallError> {
        let mut rows = self.rows.lock().unwrap();
        let is_met = commit
            .guards
            .iter()
            .all(|guard| rows.contains_key(&guard.key) == (guard.revision == REVISION));
        if !is_met {
            let guarded = commit.guards.iter();
            let found = guarded.filter_map(|guard| {
                let value = rows.get(&guard.key)?;
                Some(stored(&guard.key, value))
            });
            return Ok(CommitAnswer::Refused {
                rows: found.collect(),
            });
        }
        for write in &commit.writes {
            rows.insert(write.key.clone(), write.value.clone());
        }
        for key in &commit.removals {
            rows.remove(key);
        }
        Ok(CommitAnswer::Stored { revision: REVISION })
    }
}
