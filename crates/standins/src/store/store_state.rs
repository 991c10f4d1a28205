//! The rows, revisions and leases of a store.

use std::collections::VecDeque;

use crate::store::KeyChange;
use crate::store::KeyRange;
use crate::store::LeaseCycle;
use crate::store::LeaseState;
use crate::store::LivePhase;
use crate::store::StoredRow;
use crate::store::TxnError;
use crate::store::WatchOutcome;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;
use sapphirestile_wire::store::CompareClause;
use sapphirestile_wire::store::DeleteRequest;
use sapphirestile_wire::store::PutRequest;
use sapphirestile_wire::store::TxnRequest;
use sapphirestile_wire::store::TxnWrite;

/// The maximum number of changes that are kept for watches.
const CHANGES_MAX: usize = 100_000;

/// The rows, revisions and leases of a store. It reads no clock: the time is passed to each
/// operation that depends on it.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_standins::store::StoreState;
/// use sapphirestile_wire::store::TxnRequest;
///
/// let mut state = StoreState::new();
/// let now = MonoTime::from_millis(0);
/// let nothing = TxnRequest { compare: Vec::new(), success: Vec::new() };
/// assert_eq!(state.commit(now, &nothing), Ok(true));
/// assert_eq!(state.revision(), 1);
/// ```
#[derive(Clone, Debug)]
pub struct StoreState {
    revision: u64,
    rows: SortedTable<Vec<u8>, StoredRow>,
    leases: SortedTable<i64, LeaseCycle<LivePhase>>,
    next_lease: i64,
    /// The latest changes, the earliest first.
    changes: VecDeque<KeyChange>,
    /// All changes from this revision on are in `changes`.
    compact_revision: u64,
}

impl StoreState {
    /// Creates an empty store at revision 1.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            revision: 1,
            rows: SortedTable::new(),
            leases: SortedTable::new(),
            next_lease: 1,
            changes: VecDeque::new(),
            compact_revision: 1,
        }
    }

    /// The revision of the last change; 1 before the first one.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// The keys and rows in `range`, in the order of the keys.
    pub fn range<'a>(
        &'a self,
        range: KeyRange<'a>,
    ) -> impl Iterator<Item = (&'a [u8], &'a StoredRow)> {
        let rows = self.rows.iter().map(|(key, row)| (key.as_slice(), row));
        rows.filter(move |(key, _)| range.contains(key))
    }

    /// Carries out all writes of a transaction, under one revision, when all its compare
    /// clauses hold. Returns whether they held.
    ///
    /// # Errors
    ///
    /// [`TxnError`] when the transaction is invalid; nothing was changed then.
    pub fn commit(&mut self, now: MonoTime, request: &TxnRequest<'_>) -> Result<bool, TxnError> {
        self.expire_leases(now);
        if !request.compare.iter().all(|clause| self.holds(clause)) {
            return Ok(false);
        }
        self.check_writes(&request.success)?;
        let revision = self.revision + 1;
        let changes_before = self.changes.len();
        for write in &request.success {
            match write {
                TxnWrite::Put(put) => self.put(revision, put),
                TxnWrite::Delete(delete) => self.delete(revision, delete),
            }
        }
        self.finish_transaction(revision, changes_before);
        Ok(true)
    }

    /// Grants a lease and returns its ID.
    pub fn grant(&mut self, now: MonoTime, ttl_ms: u64) -> i64 {
        self.expire_leases(now);
        let number = self.next_lease;
        self.next_lease += 1;
        let lease = LeaseCycle::grant(number, ttl_ms, now);
        self.leases.insert(number, lease);
        number
    }

    /// Renews a lease and returns its time to live in milliseconds; `None` when it has expired
    /// or was never granted.
    pub fn renew(&mut self, now: MonoTime, number: i64) -> Option<u64> {
        self.expire_leases(now);
        let lease = self.leases.remove(&number)?;
        let lease = lease.renew(now);
        let ttl_ms = lease.ttl_ms();
        self.leases.insert(number, lease);
        Some(ttl_ms)
    }

    /// When the next lease expires unless it is renewed; `None` when there is no lease.
    #[must_use]
    pub fn next_expiry(&self) -> Option<MonoTime> {
        self.leases.values().map(LeaseCycle::expires_at).min()
    }

    /// Removes the leases that have expired by `now`, and matches the rows attached to them.
    pub fn expire_leases(&mut self, now: MonoTime) {
        if self.next_expiry().is_none_or(|expires_at| now < expires_at) {
            return;
        }
        let leases = std::mem::take(&mut self.leases);
        let (live, expired) = split_expired(&leases, now);
        self.leases = live;
        for number in expired {
            self.delete_rows_of_lease(number);
        }
    }

    /// The changes in `range` from `revision` on.
    #[must_use]
    pub fn changes_from(&self, range: KeyRange<'_>, revision: u64) -> WatchOutcome {
        if revision < self.compact_revision {
            return WatchOutcome::Compacted(self.compact_revision);
        }
        let start = self
            .changes
            .partition_point(|change| change.revision < revision);
        let changes = self.changes.range(start..);
        let matching: Vec<KeyChange> = changes
            .filter(|change| range.contains(&change.key))
            .cloned()
            .collect();
        if matching.is_empty() {
            return WatchOutcome::Unchanged;
        }
        WatchOutcome::Changed(matching)
    }

    fn holds(&self, clause: &CompareClause<'_>) -> bool {
        let row = self.rows.get(clause.key.as_bytes());
        let stored = row.map_or(0, |row| row.mod_revision);
        clause.mod_revision.revision() == Some(stored)
    }

    fn check_writes(&self, writes: &[TxnWrite<'_>]) -> Result<(), TxnError> {
        let mut keys: Vec<&[u8]> = Vec::new();
        for write in writes {
            let TxnWrite::Put(put) = write else { continue };
            let lease = put.lease.get();
            if lease != 0 && !self.leases.contains(&lease) {
                return Err(TxnError::LeaseNotFound);
            }
            keys.push(put.key.as_bytes());
        }
        keys.sort_unstable();
        if keys.windows(2).any(|pair| pair[0] == pair[1]) {
            return Err(TxnError::DuplicateKey);
        }
        if deletes_any_of(writes, &keys) {
            return Err(TxnError::DuplicateKey);
        }
        Ok(())
    }

    fn put(&mut self, revision: u64, put: &PutRequest<'_>) {
        let key = put.key.as_bytes();
        let earlier = self.rows.get(key);
        let create_revision = earlier.map_or(revision, |row| row.create_revision);
        let lease = Some(put.lease.get()).filter(|lease| *lease != 0);
        let row = StoredRow {
            value: put.value.as_bytes().to_vec(),
            create_revision,
            mod_revision: revision,
            lease,
        };
        self.rows.insert(key.to_vec(), row);
        self.record_change(revision, key.to_vec());
    }

    fn delete(&mut self, revision: u64, delete: &DeleteRequest<'_>) {
        let range = KeyRange::of(&delete.key, &delete.range_end);
        self.delete_where(revision, |key, _| range.contains(key));
    }

    fn delete_rows_of_lease(&mut self, number: i64) {
        let revision = self.revision + 1;
        let changes_before = self.changes.len();
        self.delete_where(revision, |_, row| row.lease == Some(number));
        self.finish_transaction(revision, changes_before);
    }

    fn delete_where(&mut self, revision: u64, should_delete: impl Fn(&[u8], &StoredRow) -> bool) {
        let mut deleted = Vec::new();
        self.rows.retain(|key, row| {
            let matches = should_delete(key, row);
            if matches {
                deleted.push(key.clone());
            }
            !matches
        });
        for key in deleted {
            self.record_change(revision, key);
        }
    }

    fn record_change(&mut self, revision: u64, key: Vec<u8>) {
        self.changes.push_back(KeyChange { revision, key });
    }

    /// Advances the revision if anything has changed, and drops the earliest
    /// changes above the maximum.
    fn finish_transaction(&mut self, revision: u64, changes_before: usize) {
        if self.changes.len() > changes_before {
            self.revision = revision;
        }
        while self.changes.len() > CHANGES_MAX {
            let dropped = self.changes.pop_front();
            self.compact_revision =
                dropped.map_or(self.compact_revision, |change| change.revision + 1);
        }
    }
}

impl Default for StoreState {
    fn default() -> Self {
        Self::new()
    }
}

fn split_expired(
    leases: &SortedTable<i64, LeaseCycle<LivePhase>>,
    now: MonoTime,
) -> (SortedTable<i64, LeaseCycle<LivePhase>>, Vec<i64>) {
    let mut live = SortedTable::new();
    let mut expired = Vec::new();
    for lease in leases.values().cloned() {
        match lease.check(now) {
            LeaseState::Live(lease) => {
                live.insert(lease.number(), lease);
            }
            LeaseState::Expired(lease) => expired.push(lease.number()),
        }
    }
    (live, expired)
}

fn deletes_any_of(writes: &[TxnWrite<'_>], keys: &[&[u8]]) -> bool {
    writes.iter().any(|write| match write {
        TxnWrite::Put(_) => false,
        TxnWrite::Delete(delete) => {
            let range = KeyRange::of(&delete.key, &delete.range_end);
            keys.iter().any(|key| range.contains(key))
        }
    })
}
