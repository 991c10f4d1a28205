use std::sync::Mutex;
use std::time::Duration;

use error_stack::Report;

use sapphirestile_cells::JournalEntry;
use sapphirestile_clients::store::CommitAnswer;
use sapphirestile_clients::store::StoreClient;
use sapphirestile_clients::store::StoreCommit;
use sapphirestile_clients::store::StoreError;
use sapphirestile_clients::store::StoreGuard;
use sapphirestile_clients::store::StoreWatch;
use sapphirestile_clients::store::StoreWrite;
use sapphirestile_clients::store::StoredRange;
use sapphirestile_clients::store::StoredRow;
use sapphirestile_core::SortedTable;

/// A store in memory that refuses values above [`VALUE_MAX_BYTES`], loses responses and
/// applies commits late.
#[derive(Default)]
pub struct FakeStore {
    rows: Mutex<Rows>,
}

#[derive(Default)]
struct Rows {
    revision: u64,
    table: SortedTable<String, (u64, Vec<u8>)>,
    /// Number of next successful commits whose response is lost.
    responses_to_lose: u32,
    fault: CommitFault,
    late: Vec<LateCommit>,
    /// Every journal entry that was ever written.
    entries: Vec<JournalEntry>,
}

/// How the store handles a commit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CommitFault {
    /// The commit is applied and its response arrives.
    #[default]
    None,
    /// The commit is applied, and its response is lost.
    ResponseLost,
    /// The commit is not applied, and no response arrives.
    NotApplied,
    /// No response arrives, and the commit is applied later if its guards hold then.
    Late,
}

/// A commit that is applied later.
struct LateCommit {
    guards: Vec<(String, u64)>,
    puts: Vec<(String, Vec<u8>)>,
    deleted: Vec<(String, String)>,
}

impl LateCommit {
    fn of(commit: &StoreCommit<'_>) -> Self {
        let guards = commit.guards.iter();
        let mut late = Self {
            guards: guards
                .map(|guard| (guard.key.to_owned(), guard.revision))
                .collect(),
            puts: Vec::new(),
            deleted: Vec::new(),
        };
        for write in commit.writes {
            match write {
                StoreWrite::Put { key, value, .. } => {
                    late.puts.push(((*key).to_owned(), value.to_vec()));
                }
                StoreWrite::DeleteRange { first, end } => {
                    late.deleted.push(((*first).to_owned(), (*end).to_owned()));
                }
            }
        }
        late
    }

    fn apply(&self, rows: &mut Rows) {
        let guards = self.guards.iter().map(|(key, revision)| StoreGuard {
            key,
            revision: *revision,
        });
        let puts = self.puts.iter().map(|(key, value)| StoreWrite::Put {
            key,
            value,
            lease: None,
        });
        let deleted = self
            .deleted
            .iter()
            .map(|(first, end)| StoreWrite::DeleteRange { first, end });
        let (guards, writes): (Vec<_>, Vec<_>) = (guards.collect(), puts.chain(deleted).collect());
        rows.apply(&StoreCommit {
            guards: &guards,
            writes: &writes,
        });
    }
}

const VALUE_MAX_BYTES: usize = 1_048_576;

impl FakeStore {
    /// Loses the responses of the next `count` commits that are applied.
    pub fn lose_responses(&self, count: u32) {
        self.rows.lock().unwrap().responses_to_lose = count;
    }

    /// Sets how all following commits are handled.
    pub fn set_fault(&self, fault: CommitFault) {
        self.rows.lock().unwrap().fault = fault;
    }

    /// Applies the late commits, each if its guards hold.
    pub fn apply_late(&self) {
        let mut rows = self.rows.lock().unwrap();
        for commit in std::mem::take(&mut rows.late) {
            commit.apply(&mut rows);
        }
    }

    /// Returns every journal entry that was ever written, in the order of the writes.
    pub fn entries(&self) -> Vec<JournalEntry> {
        self.rows.lock().unwrap().entries.clone()
    }

    /// Writes a row and returns its revision.
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

    /// Applies a commit if its guards hold.
    fn apply(&mut self, commit: &StoreCommit<'_>) -> CommitAnswer {
        if !commit.guards.iter().all(|guard| self.holds(guard)) {
            return CommitAnswer::Beaten;
        }
        self.revision += 1;
        for write in commit.writes {
            self.write(write);
        }
        CommitAnswer::Done(self.revision)
    }

    fn write(&mut self, write: &StoreWrite<'_>) {
        match write {
            StoreWrite::Put { key, value, .. } => {
                if key.contains("/journal/") {
                    let entry =
                        postcard::from_bytes(value).expect("a journal row should hold an entry");
                    self.entries.push(entry);
                }
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
        let is_too_large = |write: &StoreWrite<'_>| matches!(write, StoreWrite::Put { value, .. } if value.len() > VALUE_MAX_BYTES);
        if commit.writes.iter().any(is_too_large) {
            return Err(Report::new(StoreError::NotRun));
        }
        let mut rows = self.rows.lock().unwrap();
        let no_response = || Err(Report::new(StoreError::Unknown));
        match rows.fault {
            CommitFault::NotApplied => return no_response(),
            CommitFault::Late => {
                rows.late.push(LateCommit::of(commit));
                return no_response();
            }
            CommitFault::None | CommitFault::ResponseLost => {}
        }
        let answer = rows.apply(commit);
        if answer == CommitAnswer::Beaten {
            return Ok(answer);
        }
        if rows.responses_to_lose > 0 {
            rows.responses_to_lose -= 1;
            return no_response();
        }
        if rows.fault == CommitFault::ResponseLost {
            return no_response();
        }
        Ok(answer)
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

    fn renew_lease(&self, _lease: i64) -> Result<bool, Report<StoreError>> {
        Ok(true)
    }
}
