//! Events that the owner handles.

use sapphirestile_core::WorkerName;
use sapphirestile_jobs::AdviceOutcome;
use sapphirestile_jobs::AdviceRequest;
use sapphirestile_jobs::LearntTables;
use sapphirestile_jobs::PaceRequest;
use sapphirestile_jobs::PollOutcome;
use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::StopOutcome;
use sapphirestile_jobs::TaskIdentity;
use sapphirestile_jobs::WorkerEvent;

use crate::owner::WriteOutcome;
use crate::store::IntakeEvent;
use crate::watching::WatchUpdate;

/// Events that the owner handles.
#[derive(Debug)]
pub enum OwnerEvent {
    /// Submissions or cancellations of callers.
    Intake(WatchUpdate<IntakeEvent>),
    /// A change of the list of workers.
    Workers(WatchUpdate<WorkerEvent>),
    /// What the owners of other cells have learnt.
    Learnt(Vec<LearntTables>),
    /// The latest batch was stored, or another daemon owns the cell.
    Stored(WriteOutcome),
    /// The outcome of starting a run.
    Started {
        /// The worker that was called.
        worker: WorkerName,
        /// The task of the run.
        task: TaskIdentity,
        /// The number of the run within the task.
        run: u32,
        /// The outcome.
        outcome: StartOutcome,
    },
    /// The outcome of stopping a run.
    Stopped {
        /// The worker that was called.
        worker: WorkerName,
        /// The task of the run.
        task: TaskIdentity,
        /// The number of the run within the task.
        run: u32,
        /// The outcome.
        outcome: StopOutcome,
    },
    /// A change of pace was not accepted, as far as is known.
    PaceFailed(PaceRequest),
    /// The outcome of a request to the advisor.
    Advised {
        /// The step and the workers that the request was about.
        request: AdviceRequest,
        /// The outcome.
        outcome: AdviceOutcome,
    },
    /// The outcome of polling a worker.
    Polled {
        /// The worker that was called.
        worker: WorkerName,
        /// The number of the poll, as in its request.
        number: u64,
        /// The outcome.
        outcome: PollOutcome,
    },
}
