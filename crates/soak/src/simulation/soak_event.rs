//! Events of the simulation.

use crate::CallOutcome;
use crate::CommitResponse;
use crate::DaemonInstance;
use crate::JournalCommit;
use crate::WorkerCall;
use sapphirestile_cells::CellEffect;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;
use sapphirestile_core::ZoneName;

/// An event of the simulation.
#[derive(Clone, Debug)]
pub enum SoakEvent {
    /// A daemon runs the work that its cell actors do after each event.
    Step(DaemonInstance),
    /// A call leaves the daemon.
    SendCall {
        /// The calling daemon process.
        from: DaemonInstance,
        /// Cell that it acts for.
        cell: CellNumber,
        /// The request.
        effect: CellEffect,
    },
    /// A call arrives at its worker.
    DeliverCall {
        /// The arriving call.
        call: WorkerCall,
        /// Delay of the answer in milliseconds; `None` when the answer is lost.
        answer_ms: Option<u64>,
    },
    /// The answer to a call arrives at the daemon, or the call times out.
    CallEnded {
        /// The daemon process that made the call.
        to: DaemonInstance,
        /// Cell that it acts for.
        cell: CellNumber,
        /// Epoch under which the call was made.
        epoch: CellEpoch,
        /// What the daemon learns.
        outcome: CallOutcome,
    },
    /// A daemon retries its pending commit.
    SendCommit {
        /// The committing daemon process.
        from: DaemonInstance,
        /// Cell that it acts for.
        cell: CellNumber,
        /// Nonce of the entry; the event is ignored when another commit is pending.
        nonce: u64,
    },
    /// A commit arrives at the store.
    DeliverCommit {
        /// The committing daemon process.
        from: DaemonInstance,
        /// The arriving commit.
        commit: Box<JournalCommit>,
        /// Whether the daemon gets the response.
        answered: bool,
    },
    /// The response to a commit arrives at the daemon, or the commit times out.
    CommitEnded {
        /// The committing daemon process.
        to: DaemonInstance,
        /// Cell that it acts for.
        cell: CellNumber,
        /// Nonce of the entry; the event is ignored when another commit is pending.
        nonce: u64,
        /// The response of the store; `None` after a time-out.
        response: Option<CommitResponse>,
    },
    /// Faults are drawn and injected.
    InjectFaults,
    /// Callers submit a job and record a request key.
    SubmitWork,
    /// A zone is returned to service.
    RestoreZone(ZoneName),
    /// The daemon with this index is started with a new incarnation, unless it is running.
    StartDaemon(usize),
}

impl SoakEvent {
    /// The daemon process that handles the event. The event is dropped when that process has
    /// ended. `None` for events that no daemon handles.
    #[must_use]
    pub const fn instance(&self) -> Option<DaemonInstance> {
        match self {
            Self::Step(instance)
            | Self::SendCall { from: instance, .. }
            | Self::CallEnded { to: instance, .. }
            | Self::SendCommit { from: instance, .. }
            | Self::CommitEnded { to: instance, .. } => Some(*instance),
            Self::DeliverCall { .. }
            | Self::DeliverCommit { .. }
            | Self::InjectFaults
            | Self::SubmitWork
            | Self::RestoreZone(_)
            | Self::StartDaemon(_) => None,
        }
    }
}
