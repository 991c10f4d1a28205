//! Jobs and requests of callers.

use rand::Rng;

use crate::daemon_role::DaemonRole;
use crate::owned_cell::OwnedCell;
use crate::storm_world::StormWorld;
use sapphirestile_cells::JobOrder;
use sapphirestile_cells::RequestRecord;
use sapphirestile_cells::TransitionFault;
use sapphirestile_core::CustomerName;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::JobName;
use sapphirestile_core::RequestKey;
use sapphirestile_core::ResourceSize;

const JOBS_PER_S: f64 = 0.4;
const TRIES_PER_S: f64 = 2.0;
const KEYS_PER_S: f64 = 0.5;
const KEYS: u32 = 40;
const UNIX_S: u64 = 1_000_000;

impl StormWorld {
    pub(super) fn submit_work(&mut self) {
        if self.stormy && self.strikes(JOBS_PER_S) {
            let order = self.draw_job();
            self.open_jobs.push(order);
        }
        if self.strikes(TRIES_PER_S) && !self.open_jobs.is_empty() {
            let place = self.rng.random_range(0..self.open_jobs.len());
            let order = self.open_jobs[place].clone();
            self.with_some_owner(|cell, _| submit_job(cell, &order));
        }
        if self.stormy && self.strikes(KEYS_PER_S) {
            let text = format!("key-{}", self.rng.random_range(0..KEYS));
            let key = RequestKey::try_from(text.as_str()).expect("the key fits");
            self.with_some_owner(|cell, mark| record_key(cell, mark, &key));
        }
    }

    pub(super) fn cancel_some_job(&mut self) {
        let state = self.store.state();
        let count = state.jobs().len();
        if count == 0 {
            return;
        }
        let place = self.rng.random_range(0..count);
        let job = state.jobs().keys().nth(place).cloned();
        let job = job.expect("the place is below the count");
        let mut cancelled = false;
        self.with_some_owner(|cell, _| cancelled = cell.owner.cancel_job(&job).is_ok());
        self.counts.cancellations += u32::from(cancelled);
    }

    /// Calls on one of the daemons that believe to own the cell.
    fn with_some_owner(&mut self, call: impl FnOnce(&mut OwnedCell, &DaemonIdentity)) {
        let first = self.rng.random_range(0..self.daemons.len());
        let now = self.now;
        let count = self.daemons.len();
        for place in (0..count).map(|place| (first + place) % count) {
            let daemon = &mut self.daemons[place];
            if !daemon.acts(now) {
                continue;
            }
            if let DaemonRole::Owning(cell) = &mut daemon.role {
                call(cell, &daemon.mark);
                return;
            }
        }
    }

    fn draw_job(&mut self) -> JobOrder {
        self.jobs_named += 1;
        let name = format!("job-{}", self.jobs_named);
        JobOrder {
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

fn submit_job(cell: &mut OwnedCell, order: &JobOrder) {
    match cell.owner.submit_job(order) {
        Ok(()) | Err(TransitionFault::AlreadySubmitted) => {
            let sequence = cell.owner.last_proposed();
            cell.jobs.push((sequence, order.job.clone()));
        }
        Err(fault) => panic!("a job was refused: {fault}"),
    }
}

fn record_key(cell: &mut OwnedCell, mark: &DaemonIdentity, key: &RequestKey) {
    let record = RequestRecord {
        sender: mark.clone(),
        nonce: 0,
        recorded_unix_s: UNIX_S,
    };
    if cell.owner.record_request(key, &record).is_ok() {
        let sequence = cell.owner.last_proposed();
        cell.keys.push((sequence, key.clone()));
    }
}
