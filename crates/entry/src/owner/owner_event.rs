//! What an owner reacts to.

use sapphirestile_core::WorkerName;
use sapphirestile_jobs::AdviceOutcome;
use sapphirestile_jobs::AdviceRequest;
use sapphirestile_jobs::PollOutcome;
use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::StopOutcome;
use sapphirestile_jobs::TaskIdentity;
use sapphirestile_jobs::WorkerEvent;

use crate::following::FollowedEvent;
use crate::owner::WriteOutcome;
use crate::store::IntakeEvent;

/// What an owner reacts to.
#[derive(Debug)]
pub enum OwnerEvent {
    /// Callers want something.
    Intake(FollowedEvent<IntakeEvent>),
    /// The list of workers changed.
    Workers(FollowedEvent<WorkerEvent>),
    /// A batch was stored, or never will be.
    Stored(WriteOutcome),
    /// A start came to its end.
    Started {
        /// The worker.
        worker: WorkerName,
        /// The task.
        task: TaskIdentity,
        /// The run.
        run: u32,
        /// What came of it.
        outcome: StartOutcome,
    },
    /// A stop came to its end.
    Stopped {
        /// The worker.
        worker: WorkerName,
        /// The task.
        task: TaskIdentity,
        /// The run.
        run: u32,
        /// What came of it.
        outcome: StopOutcome,
    },
    /// A question to the advisor came to its end.
    Advised {
        /// The question.
        order: AdviceRequest,
        /// What came of it.
        outcome: AdviceOutcome,
    },
    /// A look came to its end.
    Looked {
        /// The worker.
        worker: WorkerName,
        /// The number of the look.
        number: u64,
        /// What came of it.
        outcome: PollOutcome,
    },
}
