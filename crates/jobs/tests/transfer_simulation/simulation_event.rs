//! Events of the simulation.

use sapphirestile_core::WorkerName;
use sapphirestile_jobs::PollOutcome;
use sapphirestile_jobs::PollRequest;
use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::StartRequest;
use sapphirestile_jobs::StopOutcome;
use sapphirestile_jobs::StopRequest;
use sapphirestile_jobs::TaskIdentity;

/// An event. Those of an owner carry its cell and generation, those of a request its number:
/// whichever of its response and its timeout comes first is its outcome.
#[derive(Clone, Debug)]
pub enum SimulationEvent {
    Tick,
    Fault,
    /// The next commit of the batch reaches the store.
    CommitArrives {
        cell: usize,
        generation: u64,
    },
    StartArrives {
        cell: usize,
        generation: u64,
        sent: u64,
        /// Incarnation of the worker that the connection belongs to.
        incarnation: u64,
        request: StartRequest,
    },
    StartReturns {
        cell: usize,
        generation: u64,
        sent: u64,
        worker: WorkerName,
        task: TaskIdentity,
        run: u32,
        outcome: StartOutcome,
    },
    StopArrives {
        cell: usize,
        generation: u64,
        sent: u64,
        request: StopRequest,
    },
    StopReturns {
        cell: usize,
        generation: u64,
        sent: u64,
        worker: WorkerName,
        task: TaskIdentity,
        run: u32,
        outcome: StopOutcome,
    },
    PollArrives {
        cell: usize,
        generation: u64,
        sent: u64,
        request: PollRequest,
    },
    PollReturns {
        cell: usize,
        generation: u64,
        sent: u64,
        worker: WorkerName,
        number: u64,
        outcome: PollOutcome,
    },
}
