//! What may happen.

use crate::cell_ownership::journal_entry::JournalEntry;
use crate::cell_ownership::journal_write::JournalWrite;
use crate::cell_ownership::worker_message::WorkerMessage;

/// One step of the cell's protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnershipAction {
    /// A daemon sends a commit.
    SendCommit {
        /// The daemon.
        daemon: u8,
        /// The entry.
        entry: JournalEntry,
    },
    /// The store carries out a commit and its writer hears of it.
    AnswerCommit(JournalWrite),
    /// The store carries out a commit and the answer is lost.
    LoseAnswer(JournalWrite),
    /// A commit is lost before the store.
    LoseCommit(JournalWrite),
    /// A daemon waits no longer for an answer and reads the journal.
    ReadBack {
        /// The daemon.
        daemon: u8,
    },
    /// A daemon sends a message.
    SendMessage {
        /// The daemon.
        daemon: u8,
        /// The message.
        message: WorkerMessage,
    },
    /// A message arrives.
    Deliver(WorkerMessage),
    /// A message arrives and will arrive again.
    DeliverCopy(WorkerMessage),
    /// A message is lost.
    LoseMessage(WorkerMessage),
    /// A daemon dies.
    Kill {
        /// The daemon.
        daemon: u8,
    },
    /// A daemon begins a new life.
    Restart {
        /// The daemon.
        daemon: u8,
    },
    /// A task on a worker finishes.
    FinishTask {
        /// The worker.
        worker: u8,
    },
    /// The lease of a task lapses, and the worker stops it.
    LapseLease {
        /// The worker.
        worker: u8,
    },
    /// The VM of a worker is lost.
    LoseWorker {
        /// The worker.
        worker: u8,
    },
    /// The VM list tells that a worker is gone.
    ListGone {
        /// The worker.
        worker: u8,
    },
    /// A worker restarts and knows neither tasks nor epochs.
    RestartWorker {
        /// The worker.
        worker: u8,
    },
}
