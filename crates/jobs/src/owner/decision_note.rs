//! What an owner decided.

use sapphirestile_core::WorkerName;

use crate::advice::StepAddress;
use crate::order::JobIdentity;
use crate::order::TaskAddress;
use crate::owner::RunCause;
use crate::state::JobStanding;

/// What an owner decided, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecisionNote {
    /// A task was given to a worker.
    Assigned {
        /// The task.
        task: TaskAddress,
        /// The run.
        run: u32,
        /// The worker.
        worker: WorkerName,
    },
    /// A run is over.
    RunOver {
        /// The task.
        task: TaskAddress,
        /// The run.
        run: u32,
        /// The worker.
        worker: WorkerName,
        /// Why.
        cause: RunCause,
        /// How long ago it was assigned, in milliseconds.
        age_ms: u64,
    },
    /// The advisor was asked which workers may run a step.
    Advised {
        /// The step.
        step: StepAddress,
        /// How many workers were named.
        asked: usize,
        /// How many of them may run it; none when there was no answer.
        good: Option<usize>,
    },
    /// A job is over.
    JobOver {
        /// The job.
        job: JobIdentity,
        /// How it stands.
        standing: JobStanding,
        /// How long ago it was handed in, in milliseconds.
        age_ms: u64,
    },
}
