//! Steps of the cell's protocol.

use crate::cell_ownership::journal_entry::JournalEntry;
use crate::cell_ownership::journal_write::JournalWrite;
use crate::cell_ownership::worker_message::WorkerMessage;

/// A step of a daemon, a worker, the store, the network or the environment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnershipAction {
    /// A daemon sends a commit.
    SendCommit {
        /// Number of the daemon.
        daemon: u8,
        /// The entry to commit.
        entry: JournalEntry,
    },
    /// The store applies a commit or rejects it, and its writer receives the answer.
    AnswerCommit(JournalWrite),
    /// The store applies a commit, and the answer is lost.
    LoseAnswer(JournalWrite),
    /// A commit is lost before it reaches the store.
    LoseCommit(JournalWrite),
    /// A daemon stops waiting for the answer to its commit and reads the journal.
    ReadBack {
        /// Number of the daemon.
        daemon: u8,
    },
    /// A daemon sends a message to a worker.
    SendMessage {
        /// Number of the daemon.
        daemon: u8,
        /// The message to send.
        message: WorkerMessage,
    },
    /// A message arrives.
    DeliverMessage(WorkerMessage),
    /// A message arrives, and stays in the network so that it can arrive again.
    DeliverDuplicate(WorkerMessage),
    /// A message is lost.
    LoseMessage(WorkerMessage),
    /// A daemon's process dies.
    KillDaemon {
        /// Number of the daemon.
        daemon: u8,
    },
    /// A daemon that died restarts with a new incarnation.
    RestartDaemon {
        /// Number of the daemon.
        daemon: u8,
    },
    /// The task finishes on a worker.
    FinishTask {
        /// Number of the worker.
        worker: u8,
    },
    /// The lease of the task expires, and the worker stops it.
    ExpireLease {
        /// Number of the worker.
        worker: u8,
    },
    /// The VM of a worker is lost.
    LoseWorker {
        /// Number of the worker.
        worker: u8,
    },
    /// The VM list shows that a worker is gone.
    ListWorkerGone {
        /// Number of the worker.
        worker: u8,
    },
    /// A worker restarts and forgets its task and its epoch.
    RestartWorker {
        /// Number of the worker.
        worker: u8,
    },
}
