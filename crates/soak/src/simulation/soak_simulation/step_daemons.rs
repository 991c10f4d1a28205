//! The periodic work of daemons: claims, worker lists, calls and commits.

use rand::Rng;

use crate::CellOwnership;
use crate::DaemonInstance;
use crate::FaultKind;
use crate::JournalCommit;
use crate::OwnedCell;
use crate::OwnershipPhase;
use crate::SoakEvent;
use crate::SoakSimulation;
use crate::SoakWorker;
use sapphirestile_cells::CellEffect;
use sapphirestile_cells::CellOwner;
use sapphirestile_cells::CellTransition;
use sapphirestile_cells::EntryBody;
use sapphirestile_cells::JournalEntry;
use sapphirestile_cells::WorkerFacts;
use sapphirestile_core::CellNumber;
use sapphirestile_core::CustomerEntry;
use sapphirestile_core::CustomerName;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::SortedTable;

const COMMIT_INTERVAL_MS: u64 = 250;
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 8;
const STARTS_PER_PLAN_MAX: usize = 50;
const VM_LIST_INTERVAL_MS: u64 = 1_000;
/// Largest age of a VM list when a daemon reads it.
const VM_LIST_AGE_MAX_MS: u64 = 25_000;
const MILLIS_PER_SECOND: u64 = 1_000;
/// Unix time at virtual time 0.
const UNIX_BASE_S: u64 = 1_000_000;
/// Customers that jobs are submitted for.
pub(super) const CUSTOMERS: [&str; 2] = ["tailors", "weavers"];

impl SoakSimulation {
    /// Runs one step of a daemon for all cells and schedules its next step.
    pub(super) fn step_daemon(&mut self, instance: DaemonInstance) {
        self.refresh_inputs(instance);
        for cell in 0..super::CELLS {
            let cell = CellNumber::new(cell);
            if self.daemons[instance.index].cells.contains(&cell) {
                self.step_cell(instance, cell);
            } else {
                self.claim_at_random(instance, cell);
            }
        }
        let next = self.now_ms + self.rng.random_range(80..150);
        self.queue.push(next, SoakEvent::Step(instance));
    }

    /// Reads the document, on average every third step, and the VM list, which shows an earlier
    /// state.
    fn refresh_inputs(&mut self, instance: DaemonInstance) {
        let reads_document = self.store.is_available(self.now_ms) && self.rng.random_bool(0.3);
        let age_ms = self.rng.random_range(0..VM_LIST_AGE_MAX_MS);
        let daemon = &mut self.daemons[instance.index];
        if reads_document {
            daemon.document_revision = self.store.document_revision;
            daemon.zones_out = self.store.zones_out.keys().cloned().collect();
        }
        let is_due = |(read, _): (u64, u64)| self.now_ms - read >= VM_LIST_INTERVAL_MS;
        if daemon.vm_list.is_none_or(is_due) {
            daemon.vm_list = Some((self.now_ms, self.now_ms.saturating_sub(age_ms)));
        }
    }

    /// Claims a cell with probability 0.05 when it has no running owner, and otherwise only when a
    /// seizure is drawn.
    fn claim_at_random(&mut self, instance: DaemonInstance, cell: CellNumber) {
        if !self.store.is_available(self.now_ms) {
            return;
        }
        let owner = self.store.rows(cell).full_state.owner();
        let is_owned = self.daemons.iter().any(|daemon| {
            let running = daemon.alive && daemon.frozen_until_ms <= self.now_ms;
            running && owner == Some(&daemon.identity()) && daemon.cells.contains(&cell)
        });
        let claim_drawn = if is_owned {
            self.draw_fault(FaultKind::CellSeized, 0.002)
        } else {
            self.rng.random_bool(0.05)
        };
        if claim_drawn {
            self.claim_cell(instance, cell);
        }
    }

    /// Reads the rows of a cell and commits a claim.
    fn claim_cell(&mut self, instance: DaemonInstance, cell: CellNumber) {
        let rows = self.store.rows(cell);
        let (state, head_revision) = (rows.load_state(), rows.head_revision);
        let nonce = self.rng.random();
        let daemon = &mut self.daemons[instance.index];
        let owner = CellOwner::claim(cell, daemon.identity(), state, nonce);
        let commit = JournalCommit {
            cell,
            expected_head: head_revision,
            document_revision: None,
            entry: owner.entry().clone(),
            snapshot: None,
            expected_state: None,
        };
        let ownership = CellOwnership {
            head_revision,
            pending_commit: Some(commit),
            phase: OwnershipPhase::Claiming(Box::new(owner)),
        };
        daemon.cells.insert(cell, ownership);
        self.send_commit(instance, cell, nonce);
    }

    /// Runs one step of a cell that the daemon owns. When another daemon has claimed the cell
    /// meanwhile, the daemon learns of it with probability 0.02 and drops the cell.
    fn step_cell(&mut self, instance: DaemonInstance, cell: CellNumber) {
        let latest_epoch = self.store.rows(cell).full_state.epoch();
        let learns = self.rng.random_bool(0.02);
        let releases = self.draw_fault(FaultKind::CellReleased, 0.001);
        let Some(owned) = self.owned_cell(instance, cell) else {
            return;
        };
        if owned.owner.epoch() < latest_epoch && learns {
            self.drop_cell(instance, cell);
            return;
        }
        owned.releasing |= releases;
        self.update_workers(instance, cell);
        self.update_pressure(instance, cell);
        self.schedule_calls(instance, cell);
        self.commit_if_due(instance, cell);
    }

    /// Passes the workers of the cell that the VM list shows, and the customers, to the owner.
    fn update_workers(&mut self, instance: DaemonInstance, cell: CellNumber) {
        let daemon = &self.daemons[instance.index];
        let Some((read, listed_ms)) = daemon.vm_list else {
            return;
        };
        let takes_work = |worker: &SoakWorker| !daemon.zones_out.contains(&worker.zone);
        let facts: Vec<WorkerFacts> = self
            .workers
            .values()
            .filter(|worker| worker.cell == cell && worker.exists_at(listed_ms))
            .map(|worker| worker.facts(takes_work(worker)))
            .collect();
        let (read, document_revision) = (daemon.clock(read), daemon.document_revision);
        if let Some(owned) = self.owned_cell(instance, cell) {
            owned.owner.set_workers(&facts, read);
            owned.owner.set_customers(&customers());
            owned.document_revision = document_revision;
        }
    }

    /// Schedules the calls that the owner has due. Sessions are not renewed during a release.
    fn schedule_calls(&mut self, instance: DaemonInstance, cell: CellNumber) {
        let clock = self.daemons[instance.index].clock(self.now_ms);
        let Some(owned) = self.owned_cell(instance, cell) else {
            return;
        };
        let mut effects = Vec::new();
        if !owned.releasing {
            let sessions = owned.owner.due_sessions(clock);
            effects.extend(sessions.into_iter().map(CellEffect::Session));
        }
        effects.extend(owned.owner.due_stops().into_iter().map(CellEffect::Stop));
        let throttles = owned.owner.due_throttles().into_iter();
        effects.extend(throttles.map(CellEffect::Throttle));
        for effect in effects {
            self.schedule_call(instance, cell, effect);
        }
    }

    /// The cell, if the daemon process at this index owns it; `None` otherwise.
    pub(super) fn owned_cell(
        &mut self,
        instance: DaemonInstance,
        cell: CellNumber,
    ) -> Option<&mut OwnedCell> {
        self.daemons[instance.index].cells.get_mut(&cell)?.owned()
    }

    /// Plans starts and commits the owner's changes, at most every `COMMIT_INTERVAL_MS`. Releases
    /// the cell when a release is wanted and nothing is left to commit.
    fn commit_if_due(&mut self, instance: DaemonInstance, cell: CellNumber) {
        let nonce = self.rng.random();
        let unix_s = UNIX_BASE_S + self.now_ms / MILLIS_PER_SECOND;
        let daemon = &mut self.daemons[instance.index];
        let clock = daemon.clock(self.now_ms);
        let Some(ownership) = daemon.cells.get_mut(&cell) else {
            return;
        };
        let head_revision = ownership.head_revision;
        let Some(owned) = ownership.owned() else {
            return;
        };
        let interval_passed = clock.millis_since(owned.last_commit) >= COMMIT_INTERVAL_MS;
        if !interval_passed || owned.owner.has_entry_in_flight() {
            return;
        }
        if !owned.releasing && owned.conflicting_revision != Some(owned.document_revision) {
            owned.owner.plan_starts(clock, STARTS_PER_PLAN_MAX);
        }
        owned.owner.forget_old(clock, unix_s);
        let snapshot_due = owned.owner.snapshot_due(SNAPSHOT_INTERVAL_ENTRIES);
        if let Some(entry) = owned.owner.take_batch(nonce).cloned() {
            let expected_state = owned.owner.snapshot_in_flight();
            ownership.pending_commit = Some(JournalCommit {
                cell,
                expected_head: head_revision,
                document_revision: has_assignment(&entry).then_some(owned.document_revision),
                entry,
                snapshot: snapshot_due.then(|| expected_state.clone()),
                expected_state: Some(expected_state),
            });
            self.send_commit(instance, cell, nonce);
        } else if owned.releasing && owned.owner.is_idle() {
            self.release_cell(instance, cell, nonce);
        }
    }

    fn release_cell(&mut self, instance: DaemonInstance, cell: CellNumber, nonce: u64) {
        let cells = &mut self.daemons[instance.index].cells;
        let Some(ownership) = cells.get_mut(&cell) else {
            return;
        };
        let phase = std::mem::replace(&mut ownership.phase, OwnershipPhase::Releasing);
        let OwnershipPhase::Owned(owned) = phase else {
            return;
        };
        let OwnedCell { owner, replies, .. } = *owned;
        assert!(
            replies.is_empty(),
            "an owner without pending changes has no pending replies"
        );
        ownership.pending_commit = Some(JournalCommit {
            cell,
            expected_head: ownership.head_revision,
            document_revision: None,
            entry: owner.release(nonce),
            snapshot: None,
            expected_state: None,
        });
        self.send_commit(instance, cell, nonce);
    }
}

fn customers() -> SortedTable<CustomerName, CustomerEntry> {
    let entry = CustomerEntry {
        quota: ResourceSize {
            cpu_milli: 1_000_000,
            memory_mb: 1_000_000,
            accelerators: 0,
        },
        priority: 100,
    };
    let parse_name = |name| CustomerName::try_from(name).expect("customer names are valid");
    CUSTOMERS
        .iter()
        .map(|name| (parse_name(*name), entry))
        .collect()
}

/// Whether the entry assigns tasks, so that its commit depends on the document revision.
fn has_assignment(entry: &JournalEntry) -> bool {
    let EntryBody::Batch(transitions) = &entry.body else {
        return false;
    };
    transitions
        .iter()
        .any(|change| matches!(change, CellTransition::TaskAssigned { .. }))
}
