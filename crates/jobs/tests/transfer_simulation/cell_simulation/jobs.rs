//! Jobs of the simulation.

use rand::Rng;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobSpec;
use sapphirestile_jobs::QueueTerms;
use sapphirestile_jobs::ResourceVector;
use sapphirestile_jobs::StepSpec;
use sapphirestile_jobs::TaskIdentity;

use super::CellSimulation;
use super::job_identity;

/// Number of the first short job. Long-running jobs have lower ones.
const FIRST_SHORT: usize = 1_000;

/// Most short jobs of a cell that are not done.
const OPEN_SHORT_JOBS_MAX: usize = 6;

/// Jobs whose tasks need a worker with a label, of which each cell has one.
const LABELLED_JOB: usize = 3;

/// Number of the first long-running job that arrives later, between the others and the short.
const FIRST_LATE: usize = 500;

/// Maximum number of long-running jobs that arrive later.
const LATE_JOBS_MAX: usize = 24;

/// When the first of them arrives, after some workers have left, in milliseconds.
const LATE_JOBS_FROM_MS: u64 = 12_000;

/// Size of their tasks, in thousandths of a processor.
const LATE_TASK_CPU_MILLI: u64 = 200;

/// Job of which each worker may run one task.
const LIMITED_JOB: usize = 2;

impl CellSimulation {
    /// A job whose tasks go on until it is cancelled.
    pub(super) fn job_spec(&self, number: usize) -> JobSpec {
        let sizes = self.mixture.sizes;
        let mut step = StepSpec {
            tasks: self.mixture.tasks_per_job,
            is_long_running: true,
            ..step_of(sizes[number % sizes.len()])
        };
        if self.mixture.has_limits && number == LABELLED_JOB {
            step.required_label = Some("large".into());
        }
        if self.mixture.has_limits && number == LIMITED_JOB {
            step.per_worker_max = Some(1);
        }
        spec_of(step)
    }

    /// Lets a short job arrive now and then in a cell that has not too many of them.
    pub(super) fn accept_short_job(&mut self) {
        if !self.mixture.has_short_jobs || !self.random.random_bool(0.2) {
            return;
        }
        let cell = self.random.random_range(0..self.mixture.cells);
        let first = job_identity(FIRST_SHORT);
        let rows = &self.store.cells[cell];
        let short = rows.specs.keys().filter(|job| **job >= first);
        let is_open = |job: &&JobIdentity| {
            let progress = rows.progress.get(job);
            progress.is_none_or(|progress| !progress.standing.is_final())
        };
        if short.filter(is_open).count() >= OPEN_SHORT_JOBS_MAX {
            return;
        }
        let job = job_identity(FIRST_SHORT + self.short_jobs);
        self.short_jobs += 1;
        let step = StepSpec {
            tasks: self.random.random_range(1..=6),
            ..step_of(1_000)
        };
        let spec = JobSpec {
            accepted_unix_ms: self.now,
            ..spec_of(step)
        };
        self.store.cells[cell].specs.insert(job, spec);
    }

    /// Lets a small long-running job arrive now and then in any cell.
    pub(super) fn accept_late_job(&mut self) {
        let is_due = self.mixture.has_late_jobs
            && self.now >= LATE_JOBS_FROM_MS
            && self.late_jobs < LATE_JOBS_MAX;
        if !is_due || !self.random.random_bool(0.02) {
            return;
        }
        let cell = self.random.random_range(0..self.mixture.cells);
        let job = job_identity(FIRST_LATE + self.late_jobs);
        self.late_jobs += 1;
        let step = StepSpec {
            tasks: 1,
            is_long_running: true,
            ..step_of(LATE_TASK_CPU_MILLI)
        };
        let spec = JobSpec {
            accepted_unix_ms: self.now,
            ..spec_of(step)
        };
        self.store.cells[cell].specs.insert(job, spec);
        let task = TaskIdentity {
            job,
            occurrence: 0,
            step: 0,
            index: 0,
        };
        self.last_seen.insert(task, self.now);
    }
}

/// Whether a long-running job arrived later than the others.
pub(super) fn is_late(job: &JobIdentity) -> bool {
    *job >= job_identity(FIRST_LATE) && !is_short(job)
}

/// Whether the tasks of a job complete by themselves.
pub(super) fn is_short(job: &JobIdentity) -> bool {
    *job >= job_identity(FIRST_SHORT)
}

fn step_of(cpu_milli: u64) -> StepSpec {
    StepSpec {
        size: ResourceVector {
            cpu_milli,
            memory_mib: 100,
            accelerators: 0,
        },
        ..StepSpec::default()
    }
}

fn spec_of(step: StepSpec) -> JobSpec {
    JobSpec {
        queue: "charts".into(),
        terms: QueueTerms {
            service: "sizing".into(),
            priority: 0,
            attempts: 3,
        },
        text: "".into(),
        steps: vec![step],
        repeat: None,
        accepted_unix_ms: 0,
    }
}
