//! The rows of one cell.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use sapphirestile_jobs::DelegatedTask;
use sapphirestile_jobs::IdleTask;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobProgress;
use sapphirestile_jobs::JobSpec;
use sapphirestile_jobs::LearntTables;
use sapphirestile_jobs::LeaseBounds;
use sapphirestile_jobs::RestartNeed;
use sapphirestile_jobs::ReturnedTask;
use sapphirestile_jobs::TaskIdentity;
use sapphirestile_jobs::WorkerVacancy;

/// The rows of one cell.
#[derive(Clone, Debug)]
pub struct CellRows {
    pub epoch: u64,
    /// Number of the latest write of the head row.
    pub version: u64,
    /// When the rows were written last, in milliseconds.
    pub written: u64,
    pub lease_bounds: LeaseBounds,
    pub vacancies: Vec<WorkerVacancy>,
    pub restarts: Vec<RestartNeed>,
    pub late_restarts: Vec<RestartNeed>,
    pub idle_tasks: Vec<IdleTask>,
    pub learnt: Option<LearntTables>,
    pub specs: BTreeMap<JobIdentity, JobSpec>,
    pub progress: BTreeMap<JobIdentity, JobProgress>,
    pub guests: BTreeMap<JobIdentity, JobProgress>,
    pub cancelled: BTreeSet<JobIdentity>,
    pub delegated: BTreeMap<(TaskIdentity, u32), DelegatedTask>,
    pub returned: BTreeMap<(TaskIdentity, u32), ReturnedTask>,
}

impl Default for CellRows {
    fn default() -> Self {
        Self {
            epoch: 0,
            version: 0,
            written: 0,
            lease_bounds: LeaseBounds::of_all(0),
            vacancies: Vec::new(),
            restarts: Vec::new(),
            late_restarts: Vec::new(),
            idle_tasks: Vec::new(),
            learnt: None,
            specs: BTreeMap::new(),
            progress: BTreeMap::new(),
            guests: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            delegated: BTreeMap::new(),
            returned: BTreeMap::new(),
        }
    }
}
