//! A store in memory.

use std::collections::BTreeMap;

use sapphirestile_jobs::CommitBatch;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobPlace;
use sapphirestile_jobs::JobProgress;
use sapphirestile_jobs::JobSpec;
use sapphirestile_jobs::LeaseBounds;
use sapphirestile_jobs::StoredJob;

use crate::ownership_row::OwnershipRow;

/// A store that accepts batches only from the owner with the latest epoch.
#[derive(Debug)]
pub struct FakeStore {
    pub row: OwnershipRow,
    /// The bounds on leases in the ownership row.
    pub lease_bounds: LeaseBounds,
    pub specs: BTreeMap<JobIdentity, JobSpec>,
    pub progress: BTreeMap<JobIdentity, JobProgress>,
    pub cancelled: Vec<JobIdentity>,
    /// Time until which the store answers nobody, in milliseconds.
    pub unavailable_until: u64,
}

impl Default for FakeStore {
    fn default() -> Self {
        Self {
            row: OwnershipRow::default(),
            lease_bounds: LeaseBounds::of_all(0),
            specs: BTreeMap::new(),
            progress: BTreeMap::new(),
            cancelled: Vec::new(),
            unavailable_until: 0,
        }
    }
}

impl FakeStore {
    /// Makes the caller the owner, with the bounds on the leases of earlier owners, and
    /// returns its epoch.
    pub fn claim(&mut self, lease_bounds: LeaseBounds, now: u64) -> u64 {
        self.lease_bounds = lease_bounds;
        self.write_row(self.row.epoch + 1, now);
        self.row.epoch
    }

    /// Returns whether the batch was stored; false if another owner has claimed.
    pub fn commit(&mut self, epoch: u64, batch: &CommitBatch, now: u64) -> bool {
        if epoch != self.row.epoch {
            return false;
        }
        self.write_row(epoch, now);
        self.lease_bounds = batch.lease_bounds.clone();
        for (identity, progress) in &batch.progress {
            assert!(
                self.specs.contains_key(identity),
                "a batch has progress of job {identity}, which is not stored"
            );
            self.progress.insert(*identity, progress.clone());
        }
        for identity in &batch.forgotten {
            self.specs.remove(identity);
            self.progress.remove(identity);
        }
        true
    }

    /// Whether a job is stored and long-running.
    pub fn is_long_running(&self, job: &JobIdentity) -> bool {
        self.specs.get(job).is_some_and(JobSpec::is_long_running)
    }

    fn write_row(&mut self, epoch: u64, now: u64) {
        self.row = OwnershipRow {
            epoch,
            version: self.row.version + 1,
            written: now,
        };
    }

    pub fn jobs(&self) -> Vec<StoredJob> {
        let stored = |(identity, spec): (&JobIdentity, &JobSpec)| StoredJob {
            identity: *identity,
            spec: spec.clone(),
            progress: self.progress.get(identity).cloned(),
            place: JobPlace::Home,
            is_cancelled: self.cancelled.contains(identity),
        };
        self.specs.iter().map(stored).collect()
    }
}
