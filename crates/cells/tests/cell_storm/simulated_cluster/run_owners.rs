//! Steps of the daemons, after those of the daemon's cell actor.

use rand::Rng;

use crate::claim_attempt::ClaimAttempt;
use crate::commit_attempt::CommitAttempt;
use crate::daemon_role::DaemonRole;
use crate::fake_commit::FakeCommit;
use crate::owned_cell::OwnedCell;
use crate::simulated_cluster::SimulatedCluster;
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
use sapphirestile_core::ZoneName;

const COMMIT_INTERVAL_MS: u64 = 250;
const SNAPSHOT_ENTRIES: u64 = 8;
const LIST_LAG_MS: u64 = 3_000;
const SILENCE_MS: u64 = 3_000;
const STARTS_MAX: usize = 50;
const UNIX_S: u64 = 1_000_000;
const QUOTA: ResourceSize = ResourceSize {
    cpu_milli: 1_000_000,
    memory_mb: 1_000_000,
    accelerators: 0,
};
const CONFIG_READS_PER_S: f64 = 2.0;
const CLAIMS_PER_S: f64 = 1.0;
const STEP_DOWNS_PER_S: f64 = 0.2;

impl SimulatedCluster {
    pub(super) fn run_daemon(&mut self, daemon: usize) {
        if !self.store.down && self.occurs(CONFIG_READS_PER_S) {
            self.daemons[daemon].config = self.store.config;
        }
        let role = std::mem::replace(&mut self.daemons[daemon].role, DaemonRole::Idle);
        let idle = matches!(role, DaemonRole::Idle);
        self.daemons[daemon].role = role;
        if idle {
            let able = !self.store.down && self.is_unowned();
            if able && self.occurs(CLAIMS_PER_S) {
                self.claim_cell(daemon);
            }
        } else {
            self.run_owner(daemon);
        }
    }

    pub(super) fn claim_cell(&mut self, daemon: usize) {
        let (state, head) = self.store.load();
        let identity = self.daemons[daemon].identity.clone();
        let nonce = self.rng.random();
        let owner = CellOwner::claim(CellNumber::new(0), identity, state, nonce);
        let commit = FakeCommit {
            entry: owner.entry().clone(),
            head,
            config: None,
            snapshot: None,
        };
        let in_flight = CommitAttempt {
            commit,
            attempts: 1,
        };
        self.daemons[daemon].term += 1;
        self.send_commit(self.term_of(daemon), &in_flight);
        let claim = ClaimAttempt { owner, in_flight };
        self.daemons[daemon].role = DaemonRole::Claiming(Box::new(claim));
    }

    /// Whether the cell's owner is gone, replaced or silent.
    fn is_unowned(&self) -> bool {
        let state = self.store.state();
        let Some(owner) = state.owner() else {
            return true;
        };
        let mut daemons = self.daemons.iter();
        let owner = daemons.find(|daemon| daemon.identity == *owner);
        owner.is_none_or(|owner| {
            let silent = owner.is_silent(self.now, SILENCE_MS);
            let owning = matches!(owner.role, DaemonRole::Owning(_));
            owner.is_dead(self.now) || silent || !owning
        })
    }

    fn run_owner(&mut self, daemon: usize) {
        let state = self.store.state();
        let is_deposed = state.owner() != Some(&self.daemons[daemon].identity);
        if is_deposed && self.occurs(STEP_DOWNS_PER_S) {
            self.daemons[daemon].take_role(DaemonRole::Idle);
            return;
        }
        let role = std::mem::replace(&mut self.daemons[daemon].role, DaemonRole::Idle);
        if let DaemonRole::Owning(mut cell) = role {
            self.step_owner(daemon, &mut cell);
            self.daemons[daemon].role = DaemonRole::Owning(cell);
        } else {
            self.daemons[daemon].role = role;
        }
    }

    fn step_owner(&mut self, daemon: usize, cell: &mut OwnedCell) {
        let config = self.daemons[daemon].config;
        let facts = self.worker_facts(config);
        cell.owner.set_workers(&facts, self.now);
        cell.owner.set_customers(&customers());
        cell.config = config;
        let term = self.term_of(daemon);
        for request in cell.owner.due_sessions(self.now) {
            self.call_worker(term, CellEffect::Session(request));
        }
        for request in cell.owner.due_stops() {
            self.call_worker(term, CellEffect::Stop(request));
        }
        let interval_elapsed = self.now.millis_since(cell.committed) >= COMMIT_INTERVAL_MS;
        if interval_elapsed && cell.in_flight.is_none() {
            self.commit_batch(daemon, cell);
        }
    }

    fn commit_batch(&mut self, daemon: usize, cell: &mut OwnedCell) {
        if cell.rejected_config != Some(cell.config) {
            cell.owner.plan_starts(self.now, STARTS_MAX);
        }
        cell.owner.forget_old(self.now, UNIX_S);
        let snapshot_due = cell.owner.snapshot_due(SNAPSHOT_ENTRIES);
        let Some(entry) = cell.owner.take_batch(self.rng.random()).cloned() else {
            return;
        };
        let commit = FakeCommit {
            head: cell.head,
            config: starts_tasks(&entry).then_some(cell.config),
            snapshot: snapshot_due.then(|| cell.owner.snapshot_in_flight()),
            entry,
        };
        let attempt = CommitAttempt {
            commit,
            attempts: 1,
        };
        self.send_commit(self.term_of(daemon), &attempt);
        cell.in_flight = Some(attempt);
    }

    /// The workers on the delayed VM list, with the zones of a configuration.
    fn worker_facts(&self, config: usize) -> Vec<WorkerFacts> {
        let listed = self.workers.iter().filter(|worker| {
            let gone = |lost| self.now.millis_since(lost) >= LIST_LAG_MS;
            !worker.lost.is_some_and(gone)
        });
        let facts = listed.map(|worker| WorkerFacts {
            worker: worker.name.clone(),
            zone: zone_name(worker.zone),
            rack: None,
            size: worker.size,
            takes_work: !self.zones[config][worker.zone],
        });
        facts.collect()
    }
}

fn customers() -> SortedTable<CustomerName, CustomerEntry> {
    let mut customers = SortedTable::new();
    let name = CustomerName::try_from("tailors").expect("the name fits");
    let entry = CustomerEntry {
        quota: QUOTA,
        priority: 100,
    };
    customers.insert(name, entry);
    customers
}

fn zone_name(zone: usize) -> ZoneName {
    let name = format!("zone-{zone}");
    ZoneName::try_from(name.as_str()).expect("the name fits")
}

fn starts_tasks(entry: &JournalEntry) -> bool {
    let EntryBody::Batch(transitions) = &entry.body else {
        return false;
    };
    let mut transitions = transitions.iter();
    transitions.any(|change| matches!(change, CellTransition::TaskAssigned { .. }))
}
