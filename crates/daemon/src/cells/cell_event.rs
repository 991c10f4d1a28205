//! Events that a cell's actor handles.

use crossbeam::channel::Sender;

use crate::cells::CellCall;
use crate::cells::CellDump;
use crate::cells::JournalOutcome;
use sapphirestile_cells::ReportChanges;
use sapphirestile_cells::ShareAnswer;
use sapphirestile_core::CellNumber;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;
use sapphirestile_wire::peer::WorkerSlowdown;

/// An event for the actor of a cell.
///
/// The names of the variants appear in the log.
#[derive(Debug)]
pub enum CellEvent {
    /// A call of an operator or a peer.
    Called(CellCall),
    /// A worker responded to a session request.
    Reported {
        /// The worker that responded.
        worker: WorkerName,
        /// Number of the session request, see
        /// [`sapphirestile_cells::SessionRenewal::ordinal`].
        ordinal: u64,
        /// When the session request was sent, by this daemon's clock.
        asked: MonoTime,
        /// The worker's state, in full or as changes since an earlier report.
        changes: ReportChanges,
    },
    /// A session request failed or had no response.
    SessionLost {
        /// The worker that was called.
        worker: WorkerName,
        /// Number of the session request, as in [`Self::Reported`].
        ordinal: u64,
        /// Whether the worker refused the request because it knows a later epoch of the
        /// cell.
        deposed: bool,
    },
    /// A call to start a task ended, with or without a response.
    StartAnswered(WorkerName),
    /// A daemon measured how much requests next to workers of the cell were slowed.
    Slowed {
        /// The daemon that measured.
        daemon: DaemonIdentity,
        /// Number of the message, which grows with each message of that daemon.
        call: u64,
        /// When this daemon received the message, by its own clock.
        received: MonoTime,
        /// The measurements, one for each worker.
        rows: Vec<WorkerSlowdown>,
    },
    /// A lender of quotas answered a share report.
    SharesLent {
        /// The cell that lends.
        lender: CellNumber,
        /// The shares that it lends, as answered.
        answers: Vec<ShareAnswer>,
    },
    /// A share report to a lender of quotas failed or had no answer.
    SharesLost {
        /// The cell that lends.
        lender: CellNumber,
    },
    /// The commit in flight has ended with this outcome.
    Committed(JournalOutcome),
    /// Another daemon has claimed the cell with a higher epoch.
    Deposed,
    /// Request to send a dump of the actor's state.
    Dump(Sender<CellDump>),
    /// Request to release the cell.
    Stop,
}
