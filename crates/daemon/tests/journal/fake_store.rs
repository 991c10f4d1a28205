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
    fault: CommitFault,
    late: Vec<LateCommit>,
    entries: Vec<JournalEntry>,
}

/// What becomes of a commit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CommitFault {
    /// It is carried out and answered.
    #[default]
    None,
    /// It is carried out, and its answer is lost.
    AnswerLost,
    /// It is not carried out, and nobody says so.
    NotCarriedOut,
    /// It is carried out later, if its guards hold then.
    Late,
}

/// A commit that is still on its way.
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

    fn land(&self, rows: &mut Rows) {
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
        rows.carry_out(&StoreCommit {
            guards: &guards,
            writes: &writes,
        });
    }
}

const VALUE_MAX_BYTES: usize = 1_048_576;

impl FakeStore {
    /// Loses the answers of the next commits that take effect.
    pub fn lose_answers(&self, count: u32) {
        self.rows.lock().unwrap().lost = count;
    }

    /// Sets what becomes of the next commits.
    pub fn set_fault(&self, fault: CommitFault) {
        self.rows.lock().unwrap().fault = fault;
    }

    /// Carries out what is still on its way.
    pub fn land_late(&self) {
        let mut rows = self.rows.lock().unwrap();
        for commit in std::mem::take(&mut rows.late) {
            commit.land(&mut rows);
        }
    }

    /// Every entry that was ever written, in order.
    pub fn entries(&self) -> Vec<JournalEntry> {
        self.rows.lock().unwrap().entries.clone()
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

    /// Carries a commit out, if its guards hold.
    fn carry_out(&mut self, commit: &StoreCommit<'_>) -> CommitAnswer {
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
                    let entry = postcard::from_bytes(value).expect("a journal holds entries");
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
        let large = |write: &StoreWrite<'_>| matches!(write, StoreWrite::Put { value, .. } if value.len() > VALUE_MAX_BYTES);
        if commit.writes.iter().any(large) {
            return Err(Report::new(StoreError::NotRun));
        }
        let mut rows = self.rows.lock().unwrap();
        let lost = || Err(Report::new(StoreError::Unknown));
        match rows.fault {
            CommitFault::NotCarriedOut => return lost(),
            CommitFault::Late => {
                rows.late.push(LateCommit::of(commit));
                return lost();
            }
            CommitFault::None | CommitFault::AnswerLost => {}
        }
        let answer = rows.carry_out(commit);
        if answer == CommitAnswer::Beaten {
            return Ok(answer);
        }
        if rows.lost > 0 {
            rows.lost -= 1;
            return lost();
        }
        if rows.fault == CommitFault::AnswerLost {
            return lost();
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
