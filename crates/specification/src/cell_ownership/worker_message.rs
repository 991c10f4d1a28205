//! Messages between daemons and workers.

use crate::cell_ownership::process_id::ProcessId;
use crate::cell_ownership::task_slot::TaskSlot;

/// One message on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WorkerMessage {
    /// Opens or renews a session.
    Renewal {
        /// The worker.
        worker: u8,
        /// Who asks.
        sender: ProcessId,
        /// The epoch of the sender's claim.
        epoch: u8,
        /// Ended attempts up to this one may be forgotten.
        settled: u8,
    },
    /// Answers a renewal.
    Report {
        /// The worker.
        worker: u8,
        /// Who asked.
        receiver: ProcessId,
        /// The epoch of the renewal.
        epoch: u8,
        /// The fresh permit.
        permit: u8,
        /// What the worker runs.
        slot: TaskSlot,
    },
    /// Starts an attempt.
    Start {
        /// The worker.
        worker: u8,
        /// The epoch of the sender's claim.
        epoch: u8,
        /// The permit taken before the commit.
        permit: u8,
        /// The attempt.
        attempt: u8,
    },
    /// Stops an attempt with a checkpoint.
    Stop {
        /// The worker.
        worker: u8,
        /// The epoch of the sender's claim.
        epoch: u8,
        /// The attempt.
        attempt: u8,
    },
}

impl WorkerMessage {
    /// The worker that the message is to or from.
    pub(crate) const fn worker(self) -> u8 {
        match self {
            Self::Renewal { worker, .. }
            | Self::Report { worker, .. }
            | Self::Start { worker, .. }
            | Self::Stop { worker, .. } => worker,
        }
    }
}
