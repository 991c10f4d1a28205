//! Events of the simulation.

use sapphirestile_core::WorkerName;
use sapphirestile_jobs::CommitBatch;
use sapphirestile_jobs::PollOutcome;
use sapphirestile_jobs::PollRequest;
use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::StartRequest;
use sapphirestile_jobs::StopOutcome;
use sapphirestile_jobs::StopRequest;
use sapphirestile_jobs::TaskIdentity;

use crate::planned_loss::PlannedLoss;

/// An event at a point in virtual time. `daemon` and `incarnation` identify the owner that sent a
/// request or gets a response.
#[derive(Clone, Debug)]
pub enum SimulationEvent {
    /// The daemon handles the time.
    Tick {
        daemon: usize,
    },
    /// A start is on a connection to the incarnation of the worker that it is meant for, so it
    /// is lost when that one ends.
    StartArrives {
        daemon: usize,
        incarnation: u64,
        request: StartRequest,
    },
    StopArrives {
        daemon: usize,
        incarnation: u64,
        request: StopRequest,
    },
    PollArrives {
        daemon: usize,
        incarnation: u64,
        sent: u64,
        request: PollRequest,
    },
    PollReturns {
        daemon: usize,
        incarnation: u64,
        worker: WorkerName,
        sent: u64,
        number: u64,
        outcome: PollOutcome,
    },
    StartReturns {
        daemon: usize,
        incarnation: u64,
        worker: WorkerName,
        task: TaskIdentity,
        run: u32,
        outcome: StartOutcome,
    },
    StopReturns {
        daemon: usize,
        incarnation: u64,
        worker: WorkerName,
        task: TaskIdentity,
        run: u32,
        outcome: StopOutcome,
    },
    CommitArrives {
        daemon: usize,
        incarnation: u64,
        epoch: u64,
        batch: Box<CommitBatch>,
    },
    CommitReturns {
        daemon: usize,
        incarnation: u64,
        is_stored: bool,
    },
    /// A random fault, if the case injects any.
    Fault,
    /// A loss that the case has planned.
    Loss(PlannedLoss),
    Submit,
    Cancel,
}
