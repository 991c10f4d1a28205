//! The rows, revisions and leases of the store.

use std::collections::VecDeque;

use crate::store::ChangeEntry;
use crate::store::KeySpan;
use crate::store::LeaseCycle;
use crate::store::LeaseState;
use crate::store::LivePhase;
use crate::store::StoredEntry;
use crate::store::TxnFault;
use crate::store::WatchOutcome;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;
use sapphirestile_wire::store::CompareClause;
use sapphirestile_wire::store::DeleteRequest;
use sapphirestile_wire::store::PutRequest;
use sapphirestile_wire::store::TxnRequest;
use sapphirestile_wire::store::TxnWrite;

/// How many changes are kept for watches.
const CHANGES_KEPT: usize = 100_000;

/// The rows, revisions and leases of the store. Reads no clock.
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
    rows: SortedTable<Vec<u8>, StoredEntry>,
    leases: SortedTable<i64, LeaseCycle<LivePhase>>,
    next_lease: i64,
    changes: VecDeque<ChangeEntry>,
    known_from: u64,
}

impl StoreState {
    /// An empty store at revision 1.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            revision: 1,
            rows: SortedTable::new(),
            leases: SortedTable::new(),
            next_lease: 1,
            changes: VecDeque::new(),
            known_from: 1,
        }
    }

    /// The revision of the last change.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// The rows of a span, in the order of their keys.
    pub fn range<'a>(
        &'a self,
        span: KeySpan<'a>,
    ) -> impl Iterator<Item = (&'a [u8], &'a StoredEntry)> {
        let rows = self.rows.iter().map(|(key, entry)| (key.as_slice(), entry));
        rows.filter(move |(key, _)| span.contains(key))
    }

    /// Writes as a whole when every condition holds, and says whether they did.
    ///
    /// # Errors
    ///
    /// [`TxnFault`] when the transaction is turned away, having done nothing.
    pub fn commit(&mut self, now: MonoTime, call: &TxnRequest<'_>) -> Result<bool, TxnFault> {
        self.lapse(now);
        if !call.compare.iter().all(|clause| self.holds(clause)) {
            return Ok(false);
        }
        self.check_writes(&call.success)?;
        let revision = self.revision + 1;
        let known = self.changes.len();
        for write in &call.success {
            match write {
                TxnWrite::Put(put) => self.put(revision, put),
                TxnWrite::Delete(delete) => self.delete(revision, delete),
            }
        }
        self.finish_change(revision, known);
        Ok(true)
    }

    /// Opens a lease and returns its number.
    pub fn grant(&mut self, now: MonoTime, ttl_ms: u64) -> i64 {
        self.lapse(now);
        let number = self.next_lease;
        self.next_lease += 1;
        let lease = LeaseCycle::grant(number, ttl_ms, now);
        self.leases.insert(number, lease);
        number
    }

    /// Renews a lease and returns its time in milliseconds; none when it has lapsed.
    pub fn keep(&mut self, now: MonoTime, number: i64) -> Option<u64> {
        self.lapse(now);
        let lease = self.leases.remove(&number)?;
        let lease = lease.renew(now);
        let ttl_ms = lease.ttl_ms();
        self.leases.insert(number, lease);
        Some(ttl_ms)
    }

    /// When the next lease lapses.
    #[must_use]
    pub fn next_lapse(&self) -> Option<MonoTime> {
        self.leases.values().map(LeaseCycle::until).min()
    }

    /// Deletes the rows of the leases that have lapsed.
    pub fn lapse(&mut self, now: MonoTime) {
        if self.next_lapse().is_none_or(|until| now < until) {
            return;
        }
        let leases = std::mem::take(&mut self.leases);
        let (live, lapsed) = split_leases(&leases, now);
        self.leases = live;
        for number in lapsed {
            self.delete_leased(number);
        }
    }

    /// The changes of a span from a revision on.
    #[must_use]
    pub fn changes_from(&self, span: KeySpan<'_>, revision: u64) -> WatchOutcome {
        if revision < self.known_from {
            return WatchOutcome::Compacted(self.known_from);
        }
        let later = self
            .changes
            .partition_point(|change| change.revision < revision);
        let changes = self.changes.range(later..);
        let found: Vec<ChangeEntry> = changes
            .filter(|change| span.contains(&change.key))
            .cloned()
            .collect();
        if found.is_empty() {
            return WatchOutcome::Quiet;
        }
        WatchOutcome::Changed(found)
    }

    fn holds(&self, clause: &CompareClause<'_>) -> bool {
        let entry = self.rows.get(clause.key.as_bytes());
        let stored = entry.map_or(0, |entry| entry.mod_revision);
        clause.mod_revision.revision() == Some(stored)
    }

    fn check_writes(&self, writes: &[TxnWrite<'_>]) -> Result<(), TxnFault> {
        let mut keys: Vec<&[u8]> = Vec::new();
        for write in writes {
            let TxnWrite::Put(put) = write else { continue };
            let lease = put.lease.get();
            if lease != 0 && !self.leases.contains(&lease) {
                return Err(TxnFault::LeaseNotFound);
            }
            keys.push(put.key.as_bytes());
        }
        keys.sort_unstable();
        if keys.windows(2).any(|pair| pair[0] == pair[1]) {
            return Err(TxnFault::DuplicateKey);
        }
        if deletes_any(writes, &keys) {
            return Err(TxnFault::DuplicateKey);
        }
        Ok(())
    }

    fn put(&mut self, revision: u64, put: &PutRequest<'_>) {
        let key = put.key.as_bytes();
        let earlier = self.rows.get(key);
        let create_revision = earlier.map_or(revision, |entry| entry.create_revision);
        let lease = Some(put.lease.get()).filter(|lease| *lease != 0);
        let entry = StoredEntry {
            value: put.value.as_bytes().to_vec(),
            create_revision,
            mod_revision: revision,
            lease,
        };
        self.rows.insert(key.to_vec(), entry);
        self.record_change(revision, key.to_vec());
    }

    fn delete(&mut self, revision: u64, delete: &DeleteRequest<'_>) {
        let span = KeySpan::of(&delete.key, &delete.range_end);
        self.delete_where(revision, |key, _| span.contains(key));
    }

    fn delete_leased(&mut self, number: i64) {
        let revision = self.revision + 1;
        let known = self.changes.len();
        self.delete_where(revision, |_, entry| entry.lease == Some(number));
        self.finish_change(revision, known);
    }

    fn delete_where(&mut self, revision: u64, doomed: impl Fn(&[u8], &StoredEntry) -> bool) {
        let mut deleted = Vec::new();
        self.rows.retain(|key, entry| {
            let goes = doomed(key, entry);
            if goes {
                deleted.push(key.clone());
            }
            !goes
        });
        for key in deleted {
            self.record_change(revision, key);
        }
    }

    fn record_change(&mut self, revision: u64, key: Vec<u8>) {
        self.changes.push_back(ChangeEntry { revision, key });
    }

    /// A transaction that changed nothing leaves the revision as it was.
    fn finish_change(&mut self, revision: u64, known: usize) {
        if self.changes.len() > known {
            self.revision = revision;
        }
        while self.changes.len() > CHANGES_KEPT {
            let forgotten = self.changes.pop_front();
            self.known_from = forgotten.map_or(self.known_from, |change| change.revision + 1);
        }
    }
}

impl Default for StoreState {
    fn default() -> Self {
        Self::new()
    }
}

fn split_leases(
    leases: &SortedTable<i64, LeaseCycle<LivePhase>>,
    now: MonoTime,
) -> (SortedTable<i64, LeaseCycle<LivePhase>>, Vec<i64>) {
    let mut live = SortedTable::new();
    let mut lapsed = Vec::new();
    for lease in leases.values().cloned() {
        match lease.check(now) {
            LeaseState::Live(lease) => {
                live.insert(lease.number(), lease);
            }
            LeaseState::Lapsed(lease) => lapsed.push(lease.number()),
        }
    }
    (live, lapsed)
}

fn deletes_any(writes: &[TxnWrite<'_>], keys: &[&[u8]]) -> bool {
    writes.iter().any(|write| match write {
        TxnWrite::Put(_) => false,
        TxnWrite::Delete(delete) => {
            let span = KeySpan::of(&delete.key, &delete.range_end);
            keys.iter().any(|key| span.contains(key))
        }
    })
}
