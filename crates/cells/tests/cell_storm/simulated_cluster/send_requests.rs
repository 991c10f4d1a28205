//! Jobs and requests of callers.

use rand::Rng;

use crate::daemon_role::DaemonRole;
use crate::owned_cell::OwnedCell;
use crate::simulated_cluster::SimulatedCluster;
use sapphirestile_cells::ArraySpec;
use sapphirestile_cells::RequestRecord;
use sapphirestile_cells::TransitionError;
use sapphirestile_core::CustomerName;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::JobName;
use sapphirestile_core::RequestKey;
use sapphirestile_core::ResourceSize;

const JOBS_PER_S: f64 = 0.4;
const SUBMISSIONS_PER_S: f64 = 2.0;
const KEYS_PER_S: f64 = 0.5;
const KEYS: u32 = 40;
const UNIX_S: u64 = 1_000_000;

impl SimulatedCluster {
    pub(super) fn send_requests(&mut self) {
        if self.injects_faults && self.occurs(JOBS_PER_S) {
            let spec = self.random_job();
            self.open_jobs.push(spec);
        }
        if self.occurs(SUBMISSIONS_PER_S) && !self.open_jobs.is_empty() {
            let index = self.rng.random_range(0..self.open_jobs.len());
            let spec = self.open_jobs[index].clone();
            self.with_some_owner(|cell, _| submit_job(cell, &spec));
        }
        if self.injects_faults && self.occurs(KEYS_PER_S) {
            let text = format!("key-{}", self.rng.random_range(0..KEYS));
            let key = RequestKey::try_from(text.as_str()).expect("the key fits");
            self.with_some_owner(|cell, identity| record_key(cell, identity, &key));
        }
    }

    pub(super) fn cancel_some_job(&mut self) {
        let state = self.store.state();
        let count = state.jobs().len();
        if count == 0 {
            return;
        }
        let index = self.rng.random_range(0..count);
        let job = state.jobs().keys().nth(index).cloned();
        let job = job.expect("the index is below the number of jobs");
        let mut cancelled = false;
        self.with_some_owner(|cell, _| cancelled = cell.owner.cancel_job(&job).is_ok());
        self.counts.cancellations += u32::from(cancelled);
    }

    /// Calls one of the daemons that consider themselves the owner.
    fn with_some_owner(&mut self, call: impl FnOnce(&mut OwnedCell, &DaemonIdentity)) {
        let first = self.rng.random_range(0..self.daemons.len());
        let now = self.now;
        let count = self.daemons.len();
        for index in (0..count).map(|index| (first + index) % count) {
            let daemon = &mut self.daemons[index];
            if !daemon.acts(now) {
                continue;
            }
            if let DaemonRole::Owning(cell) = &mut daemon.role {
                call(cell, &daemon.identity);
                return;
            }
        }
    }

    fn random_job(&mut self) -> ArraySpec {
        self.jobs_created += 1;
        let name = format!("job-{}", self.jobs_created);
        ArraySpec {
            job: JobName::try_from(name.as_str()).expect("the name fits"),
            customer: CustomerName::try_from("tailors").expect("the name fits"),
            tasks: self.rng.random_range(1..5),
            size: ResourceSize {
                cpu_milli: self.rng.random_range(500..4_000),
                memory_mb: self.rng.random_range(500..12_000),
                accelerators: 0,
            },
            run_ms: self.rng.random_range(500..25_000),
            urgent: self.rng.random_bool(0.1),
            zones: Vec::new(),
        }
    }
}

fn submit_job(cell: &mut OwnedCell, spec: &ArraySpec) {
    match cell.owner.submit_job(spec) {
        Ok(()) | Err(TransitionError::AlreadySubmitted) => {
            let sequence = cell.owner.last_proposed();
            cell.jobs.push((sequence, spec.job.clone()));
        }
        Err(error) => panic!("a job was rejected: {error}"),
    }
}

fn record_key(cell: &mut OwnedCell, identity: &DaemonIdentity, key: &RequestKey) {
    let record = RequestRecord {
        sender: identity.clone(),
        nonce: 0,
        recorded_unix_s: UNIX_S,
    };
    if cell.owner.record_request(key, &record).is_ok() {
        let sequence = cell.owner.last_proposed();
        cell.keys.push((sequence, key.clone()));
    }
}
