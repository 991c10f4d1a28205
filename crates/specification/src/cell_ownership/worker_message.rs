//! Messages between daemons and workers.

use crate::cell_ownership::process_id::ProcessId;
use crate::cell_ownership::worker_task::WorkerTask;

/// A message in flight between a daemon and a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WorkerMessage {
    /// Opens or renews a session of a daemon with a worker.
    Renewal {
        /// Number of the worker.
        worker: u8,
        /// Process that sent the renewal.
        sender: ProcessId,
        /// The epoch of the sender's claim.
        epoch: u8,
        /// Attempts up to this number have ended by the journal, so the worker may forget them.
        settled: u8,
    },
    /// Answers a renewal with a new permit and the worker's task.
    Report {
        /// Number of the worker.
        worker: u8,
        /// Process that sent the renewal.
        receiver: ProcessId,
        /// The epoch of the renewal.
        epoch: u8,
        /// The new permit.
        permit: u8,
        /// The task on the worker.
        task: WorkerTask,
    },
    /// Starts an attempt.
    Start {
        /// Number of the worker.
        worker: u8,
        /// The epoch of the sender's claim.
        epoch: u8,
        /// The permit that the sender had received before the commit.
        permit: u8,
        /// Number of the attempt.
        attempt: u8,
    },
    /// Stops an attempt, which saves a checkpoint.
    Stop {
        /// Number of the worker.
        worker: u8,
        /// The epoch of the sender's claim.
        epoch: u8,
        /// Number of the attempt.
        attempt: u8,
    },
}

impl WorkerMessage {
    /// Worker that sends or receives the message.
    pub(crate) const fn worker(self) -> u8 {
        match self {
            Self::Renewal { worker, .. }
            | Self::Report { worker, .. }
            | Self::Start { worker, .. }
            | Self::Stop { worker, .. } => worker,
        }
    }
}
