//! Elects the owners of the cells.

use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use sapphirestile_core::CellNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;
use sapphirestile_jobs::CellLoad;
use sapphirestile_jobs::IdleTask;
use sapphirestile_jobs::LeaseBounds;

use crate::cells::CellHead;
use crate::context::EntryContext;
use crate::copies::PUBLISHERS_TO_BEGIN;
use crate::copies::ReadingPolicy;
use crate::owner::CellClaims;
use crate::owner::ClaimDelay;
use crate::owner::OwnerAdapters;
use crate::owner::OwnershipClaim;
use crate::owner::OwnershipTerm;
use crate::ports::CommitAnswer;
use crate::ports::ListTimeouts;
use crate::ports::RowGuard;
use crate::ports::StoreCallError;
use crate::ports::StoreCommit;
use crate::ports::StoredRow;
use crate::store::OwnershipRow;
use crate::store::RowKeys;
use crate::watching::RetryBackoff;

/// The interval between reads of the rows of the cells.
const READ_INTERVAL: Duration = Duration::from_millis(400);

/// The upper bound of the timeout of one call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Makes sure that each cell has an owner: reads the ownership rows, claims a cell whose
/// owner has failed, and drives it on a thread of its own until another daemon takes over.
pub struct OwnerElection {
    context: Arc<EntryContext>,
    adapters: OwnerAdapters,
    claims: CellClaims,
    reading: ReadingPolicy,
    /// The threads that drive the cells of this daemon.
    terms: SortedTable<CellNumber, JoinHandle<()>>,
}

impl OwnerElection {
    /// Starts a thread, which ends after shutdown is requested and every cell is released.
    ///
    /// # Panics
    ///
    /// When the operating system cannot create a thread.
    #[must_use]
    pub fn spawn(context: Arc<EntryContext>, adapters: OwnerAdapters) -> JoinHandle<()> {
        let election = Self {
            claims: CellClaims::of(&context.settings.node.name),
            context,
            adapters,
            reading: ReadingPolicy::default(),
            terms: SortedTable::new(),
        };
        thread::Builder::new()
            .name("elect owners".to_owned())
            .spawn(move || election.run())
            .expect("failed to spawn the election thread")
    }

    fn run(mut self) {
        while !self.context.is_stopping() {
            let result = self.context.list_rows(
                RowKeys::cells_prefix(),
                ListTimeouts::each_pause(CALL_TIMEOUT),
            );
            if let Ok(listing) = result {
                let now = self.context.clock.now();
                self.context
                    .cells
                    .update(|table| table.with_rows(&listing.rows, now));
                // A claim may take seconds.
                self.observe_copies(listing.revision, now);
                self.claim_next(now);
                self.set_role();
            }
            thread::sleep(READ_INTERVAL);
        }
        let cells: Vec<CellNumber> = self.terms.keys().copied().collect();
        for cell in cells {
            if let Some(term) = self.terms.remove(&cell) {
                // A term that panicked has aborted the process.
                let _ended = term.join();
            }
        }
    }

    /// Decides from the owners' reports whether this daemon relies on copies of the
    /// operators' document. A version that another daemon has copied need not be copied again.
    fn observe_copies(&mut self, revision: u64, now: MonoTime) {
        let copies = &self.context.copies;
        let table = self.context.cells.load();
        let reports = table.document_reports(now);
        for (_, report) in &reports {
            copies.record_report(*report);
        }
        let latest = self.reading.observe(&reports, revision, now);
        let allows_copies = self.context.settings.bounds.allows_copies();
        copies.decide(latest.filter(|_| allows_copies), now);
    }

    /// Sets whether this daemon copies the operators' document for others.
    fn set_role(&self) {
        let is_owner = !self.terms.is_empty();
        let cells = self.context.cells.load().heads.len();
        let allows_copies = self.context.settings.bounds.allows_copies();
        let publishes = allows_copies && is_owner && cells >= PUBLISHERS_TO_BEGIN;
        self.context.copies.set_role(is_owner, publishes);
    }

    /// Claims one of the cells without an owner, if there is one.
    fn claim_next(&mut self, now: MonoTime) {
        self.terms.retain(|_, term| !term.is_finished());
        let table = self.context.cells.load_full();
        let owned = |cell: CellNumber| self.terms.contains(&cell);
        let free = self.claims.observe(&table, owned, now);
        let has_config = self.context.operator_state.load().config.is_some();
        let Some(free) = free.filter(|_| has_config) else {
            return;
        };
        let share = self.context.settings.node.cpu_share;
        let delay = ClaimDelay::of(share, self.terms.len(), free.cells).duration();
        let left = delay.saturating_sub(Duration::from_millis(free.free_ms));
        if left >= READ_INTERVAL {
            return;
        }
        thread::sleep(left);
        let (cell, revision) = (free.cell, free.revision);
        if !self.is_unclaimed(cell, revision) {
            return;
        }
        let epoch = table.highest_epoch();
        let claimed = self.context.clock.now();
        let head = table.heads.get(&cell);
        tracing::info!(
            %cell,
            epoch,
            revision,
            previous = head.map(|head| &*head.row.daemon),
            is_released = head.is_some_and(|head| head.row.is_released),
            row_age_ms = head.map_or(0, |head| claimed.millis_since(head.changed)),
            "owner failed or released the cell; claiming it"
        );
        let (load, lease_bounds) = inherited_state(head, claimed);
        let row = OwnershipRow {
            epoch: epoch + 1,
            daemon: self.context.settings.node.name.as_str().into(),
            incarnation: self.context.incarnation,
            write: 1,
            is_released: false,
            load,
            lease_bounds,
            vacancies: Vec::new(),
            restarts: Vec::new(),
            late_restarts: Vec::new(),
            idle_tasks: inherited_idle_tasks(head, claimed),
            document: self.context.copies.report(),
        };
        if let Some(claim) = self.claim(cell, revision, row) {
            self.drive(claim, claimed);
        }
    }

    /// Whether the ownership row is still at the revision, after other daemons may have
    /// claimed the cell.
    fn is_unclaimed(&self, cell: CellNumber, revision: u64) -> bool {
        let key = RowKeys::ownership(cell);
        let result = self.context.read_row(&key, CALL_TIMEOUT);
        result.is_ok_and(|row| row.map_or(0, |row| row.revision) == revision)
    }

    fn drive(&mut self, claim: OwnershipClaim, claimed: MonoTime) {
        let cell = claim.cell;
        let (context, adapters) = (Arc::clone(&self.context), self.adapters.clone());
        let term = thread::Builder::new()
            .name(format!("own cell {cell}"))
            .spawn(move || OwnershipTerm::drive(&context, &adapters, claim, claimed));
        match term {
            Ok(term) => {
                self.terms.insert(cell, term);
            }
            Err(error) => {
                tracing::error!(%cell, %error, "failed to spawn the thread of a cell");
            }
        }
    }

    /// Claims a cell by replacing its ownership row; `None` when another daemon was faster or
    /// this one stops.
    fn claim(&self, cell: CellNumber, revision: u64, row: OwnershipRow) -> Option<OwnershipClaim> {
        let commit = StoreCommit {
            guards: vec![RowGuard {
                key: RowKeys::ownership(cell),
                revision,
            }],
            writes: vec![OwnershipClaim::write_of(cell, &row)],
            removals: Vec::new(),
        };
        let mut backoff = RetryBackoff::default();
        while !self.context.is_stopping() {
            let started = Instant::now();
            let result = self.context.commit_rows(&commit, CALL_TIMEOUT);
            match result {
                Ok(CommitAnswer::Stored { revision }) => {
                    return Some(OwnershipClaim {
                        cell,
                        row,
                        revision,
                    });
                }
                Ok(CommitAnswer::Refused { rows }) => return own_claim(cell, row, &rows),
                Err(StoreCallError::NotDone) => thread::sleep(READ_INTERVAL / 4),
                Err(_) => thread::sleep(backoff.remaining_delay(started.elapsed())),
            }
        }
        None
    }
}

/// The load and the bounds on leases that a claim at `claimed` writes: those of the previous
/// owner's row `head`, if there is one. The load stands until the new owner has polled its
/// workers. The bounds count from when this daemon first read the row, which was written
/// before that.
fn inherited_state(head: Option<&CellHead>, claimed: MonoTime) -> (CellLoad, LeaseBounds) {
    match head {
        Some(head) => {
            let elapsed_ms = claimed.millis_since(head.changed);
            let lease_bounds = head.row.lease_bounds.after(elapsed_ms);
            (head.row.load.clone(), lease_bounds)
        }
        None => (CellLoad::default(), LeaseBounds::of_all(0)),
    }
}

/// The tasks that waited under the previous owner, which have waited on since its row `head`
/// was written.
fn inherited_idle_tasks(head: Option<&CellHead>, claimed: MonoTime) -> Vec<IdleTask> {
    let Some(head) = head else {
        return Vec::new();
    };
    let elapsed_ms = claimed.millis_since(head.changed);
    let later = |idle: &IdleTask| IdleTask {
        idle_ms: idle.idle_ms.saturating_add(elapsed_ms),
        ..*idle
    };
    head.row.idle_tasks.iter().map(later).collect()
}

/// The claim, if an earlier call whose answer was lost has stored it.
fn own_claim(cell: CellNumber, row: OwnershipRow, rows: &[StoredRow]) -> Option<OwnershipClaim> {
    let key = RowKeys::ownership(cell);
    let found = rows.iter().find(|found| found.key == key)?;
    let stored = OwnershipRow::decode(&found.value)?;
    let revision = found.revision;
    (stored == row).then_some(OwnershipClaim {
        cell,
        row,
        revision,
    })
}
