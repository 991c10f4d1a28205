use std::sync::Mutex;
use std::time::Duration;

use error_stack::Report;

use sapphirestile_core::SortedTable;
use sapphirestile_platform::store::CommitAnswer;
use sapphirestile_platform::store::StoreClient;
use sapphirestile_platform::store::StoreCommit;
use sapphirestile_platform::store::StoreError;
use sapphirestile_platform::store::StoreGuard;
use sapphirestile_platform::store::StoreWatch;
use sapphirestile_platform::store::StoreWrite;
use sapphirestile_platform::store::StoredRange;
use sapphirestile_platform::store::StoredRow;

/// A store in memory, which refuses large values and loses answers.
#[derive(Default)]
pub struct FakeStore {
    rows: Mutex<Rows>,
}

#[derive(Default)]
struct Rows {
    revision: u64,
    table: SortedTable<String, (u64, Vec<u8>)>,
    lost: u32,
}

const VALUE_MAX_BYTES: usize = 1_048_576;

impl FakeStore {
    /// Loses the answers of the next commits that take effect.
    pub fn lose_answers(&self, count: u32) {
        self.rows.lock().unwrap().lost = count;
    }

    /// Puts a row and returns its revision.
    pub fn put(&self, key: &str, value: &[u8]) -> u64 {
        let mut rows = self.rows.lock().unwrap();
        rows.revision += 1;
        let revision = rows.revision;
        rows.table
            .insert(key.to_owned(), (revision, value.to_vec()));
        revision
    }
}

impl Rows {
    fn holds(&self, guard: &StoreGuard<'_>) -> bool {
        self.table
            .get(guard.key)
            .map_or(0, |(revision, _)| *revision)
            == guard.revision
    }

    fn write(&mut self, write: &StoreWrite<'_>) {
        match write {
            StoreWrite::Put { key, value, .. } => {
                self.table
                    .insert((*key).to_owned(), (self.revision, value.to_vec()));
            }
            StoreWrite::DeleteRange { first, end } => {
                self.table
                    .retain(|key, _| key.as_str() < *first || key.as_str() >= *end);
            }
        }
    }
}

impl StoreClient for FakeStore {
    fn read(&self, prefix: &str) -> Result<StoredRange, Report<StoreError>> {
        let rows = self.rows.lock().unwrap();
        let found = rows.table.iter().filter(|(key, _)| key.starts_with(prefix));
        let found = found.map(|(key, (revision, value))| StoredRow {
            key: key.clone(),
            value: value.clone(),
            revision: *revision,
        });
        Ok(StoredRange {
            revision: rows.revision,
            rows: found.collect(),
        })
    }

    fn commit(&self, commit: &StoreCommit<'_>) -> Result<CommitAnswer, Report<StoreError>> {
        let large = |write: &StoreWrite<'_>| matches!(write, StoreWrite::Put { value, .. } if value.len() > VALUE_MAX_BYTES);
        if commit.writes.iter().any(large) {
            return Err(Report::new(StoreError::NotRun));
        }
        let mut rows = self.rows.lock().unwrap();
        if !commit.guards.iter().all(|guard| rows.holds(guard)) {
            return Ok(CommitAnswer::Beaten);
        }
        rows.revision += 1;
        for write in commit.writes {
            rows.write(write);
        }
        if rows.lost > 0 {
            rows.lost -= 1;
            return Err(Report::new(StoreError::Unknown));
        }
        Ok(CommitAnswer::Done(rows.revision))
    }

    fn watch(
        &self,
        _watch: &StoreWatch<'_>,
        _wait: Duration,
    ) -> Result<Option<StoredRange>, Report<StoreError>> {
        Ok(None)
    }

    fn grant_lease(&self, _ttl: Duration) -> Result<i64, Report<StoreError>> {
        Ok(1)
    }

    fn keep_lease(&self, _lease: i64) -> Result<bool, Report<StoreError>> {
        Ok(true)
    }
}
