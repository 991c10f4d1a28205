//! What a keeper takes in.

use crossbeam::channel::Sender;

use crate::cells::JournalOutcome;
use crate::cells::KeeperCall;
use crate::cells::KeeperDump;
use sapphirestile_cells::ReportChanges;
use sapphirestile_cells::ShareAnswer;
use sapphirestile_core::CellNumber;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;
use sapphirestile_wire::peer::WorkerSlowdown;

/// Something that a keeper has to take in.
#[derive(Debug)]
pub enum KeeperEvent {
    /// A call of an operator or a peer.
    Called(KeeperCall),
    /// A worker answered a session.
    Reported {
        /// The worker.
        worker: WorkerName,
        /// Which session it answers.
        ordinal: u64,
        /// When the session was asked for.
        asked: MonoTime,
        /// What it says.
        changes: ReportChanges,
    },
    /// A session was not answered.
    SessionLost {
        /// The worker.
        worker: WorkerName,
        /// Which session it was.
        ordinal: u64,
        /// Whether the worker knows a later epoch.
        deposed: bool,
    },
    /// A start was answered, or its answer was lost.
    StartAnswered(WorkerName),
    /// A daemon measured requests beside workers of the cell.
    Slowed {
        /// The daemon.
        daemon: DaemonIdentity,
        /// The number of its message.
        call: u64,
        /// When it was received.
        received: MonoTime,
        /// The slowdowns.
        rows: Vec<WorkerSlowdown>,
    },
    /// A lender of quotas has answered.
    SharesLent {
        /// The cell that lends.
        lender: CellNumber,
        /// What it answers.
        answers: Vec<ShareAnswer>,
    },
    /// A lender of quotas has not answered.
    SharesLost {
        /// The cell that lends.
        lender: CellNumber,
    },
    /// The outcome of the entry in flight.
    Committed(JournalOutcome),
    /// Another daemon has claimed the cell.
    Deposed,
    /// Show the state.
    Dump(Sender<KeeperDump>),
    /// Give the cell up.
    Stop,
}
