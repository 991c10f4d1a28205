//! Claims of the daemons, and what their owners do with time.

use std::sync::Arc;

use sapphirestile_core::CellEpoch;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ZoneName;
use sapphirestile_jobs::DeployedConfig;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobOwner;
use sapphirestile_jobs::JobSpec;
use sapphirestile_jobs::OwnerLimits;
use sapphirestile_jobs::ResourceVector;
use sapphirestile_jobs::WorkerEntry;
use sapphirestile_jobs::WorkerIncarnation;

use crate::fake_worker::FakeWorker;
use crate::owner_claim::OwnerClaim;
use crate::seen_row::SeenRow;
use crate::simulation::Simulation;
use crate::simulation_event::SimulationEvent;

use super::HEARTBEAT_MS;
use super::OWNER_TIMEOUT_MS;
use super::ROW_READ_MS;

/// Time that a batch takes to the store, in milliseconds.
const BATCH_MS: u64 = 4;

impl Simulation {
    pub(super) fn tick(&mut self, daemon: usize) {
        if self.now < self.daemons[daemon].paused_until {
            return;
        }
        for event in std::mem::take(&mut self.daemons[daemon].queued) {
            self.handle_event(daemon, event);
        }
        let is_unavailable = self.is_store_unavailable(daemon);
        if !is_unavailable && self.now >= self.daemons[daemon].next_read {
            self.read_row(daemon);
        }
        if self.daemons[daemon].owner.is_none() {
            if !is_unavailable && self.may_claim(daemon) {
                self.claim(daemon);
            }
            return;
        }
        self.drive(daemon, is_unavailable);
    }

    pub(super) fn is_store_unavailable(&self, daemon: usize) -> bool {
        self.now < self.store.unavailable_until || self.now < self.daemons[daemon].partitioned_until
    }

    /// Whether a daemon may claim now: there is no owner, or the latest one has not written for
    /// a while. In the cases with planned losses that is what the daemon itself has read.
    fn may_claim(&self, daemon: usize) -> bool {
        let row = self.store.row;
        let unchanged_since = if self.plans_losses() {
            let seen = self.daemons[daemon].seen.filter(|seen| seen.row == row);
            seen.map(|seen| seen.at)
        } else {
            Some(row.written)
        };
        let timeout_ms = OWNER_TIMEOUT_MS + daemon as u64 * 40;
        row.epoch == 0 || unchanged_since.is_some_and(|since| self.now >= since + timeout_ms)
    }

    /// Lets a daemon read the ownership row.
    fn read_row(&mut self, daemon: usize) -> SeenRow {
        let state = &mut self.daemons[daemon];
        state.next_read = self.now + ROW_READ_MS;
        state.read_row(self.store.row, self.now)
    }

    fn claim(&mut self, daemon: usize) {
        let seen = self.read_row(daemon);
        let inherited = self.store.lease_bounds.after(self.now - seen.at);
        let epoch = self.store.claim(inherited.clone(), self.now);
        self.watch.record_claim(OwnerClaim {
            daemon,
            epoch,
            at: self.now,
            seen,
        });
        let now = MonoTime::from_millis(self.now);
        let limits = OwnerLimits {
            lease_ms: OwnerLimits::LEASE_MS,
            lease_max_ms: self.lease_max_ms(),
            authority_ms: OwnerLimits::AUTHORITY_MS,
            retention_ms: self.retention_ms(),
        };
        let config = Arc::new(DeployedConfig::default());
        let mut owner = JobOwner::new(
            CellEpoch::new(epoch),
            limits,
            config,
            Vec::new(),
            inherited,
            now,
        );
        owner.replace_workers(self.entries(), now);
        for stored in self.store.jobs() {
            owner.restore_job(stored, now, self.now);
        }
        self.daemons[daemon].owner = Some(owner);
        self.daemons[daemon].is_committing = false;
        self.daemons[daemon].last_commit = self.now;
        self.plan_losses_after_claim(epoch);
    }

    pub(super) fn entries(&self) -> Vec<WorkerEntry> {
        let entry = |worker: &FakeWorker| {
            let incarnation = worker.listed_incarnation(self.now);
            WorkerEntry {
                name: worker.name.clone(),
                service: "sizing".into(),
                address: worker.address,
                zone: ZoneName::try_from("near-a").unwrap(),
                labels: Vec::new(),
                capacity: ResourceVector {
                    cpu_milli: self.capacity_milli(incarnation),
                    memory_mib: 64_000,
                    accelerators: 0,
                },
                is_leaving: false,
                incarnation: WorkerIncarnation::from_unix_ms(incarnation),
            }
        };
        let listed = self
            .workers
            .iter()
            .filter(|worker| !worker.unlisted.contains(&self.now));
        listed.map(entry).collect()
    }

    /// Lets an owner handle the time and sends what it requests.
    fn drive(&mut self, daemon: usize, is_unavailable: bool) {
        let entries = self.entries();
        let specs: Vec<(JobIdentity, JobSpec)> = if is_unavailable {
            Vec::new()
        } else {
            let specs = self.store.specs.iter();
            specs
                .map(|(identity, spec)| (*identity, spec.clone()))
                .collect()
        };
        let cancelled = self.store.cancelled.clone();
        let unix_ms = self.now;
        let state = &mut self.daemons[daemon];
        let now = MonoTime::from_millis(unix_ms);
        let incarnation = state.incarnation;
        let Some(owner) = &mut state.owner else {
            return;
        };
        if !is_unavailable {
            owner.replace_workers(entries, now);
            for (identity, spec) in specs {
                owner.accept_job(identity, spec, now, unix_ms);
            }
            for identity in cancelled {
                owner.cancel_job(identity, now);
            }
        }
        owner.advance_time(now, unix_ms);
        owner.plan_starts(now, unix_ms);
        owner.poll_due_workers(now);
        let effects = owner.take_effects();
        let is_deposed = owner.is_deposed();
        let is_due = unix_ms >= state.last_commit + HEARTBEAT_MS;
        let batch = if state.is_committing {
            None
        } else {
            owner.take_batch(is_due, now).map(Box::new)
        };
        let epoch = owner.epoch().get();
        if is_deposed {
            state.owner = None;
            state.incarnation += 1;
            return;
        }
        if let Some(batch) = batch {
            state.is_committing = true;
            state.last_commit = unix_ms;
            let delay_ms = self.late_batch_ms().unwrap_or(BATCH_MS);
            self.schedule(
                delay_ms,
                SimulationEvent::CommitArrives {
                    daemon,
                    incarnation,
                    epoch,
                    batch,
                },
            );
        }
        for effect in effects {
            self.send_request(daemon, incarnation, effect);
        }
    }
}
