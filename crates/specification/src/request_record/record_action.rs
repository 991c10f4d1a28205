//! Steps of the record protocol.

/// A step of the caller, an entry daemon, an owner, the store, the runner or the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordAction {
    /// The caller sends the request to an entry daemon.
    BeginAttempt {
        /// Number of the attempt.
        attempt: u8,
    },
    /// An owner handles the attempt's request for the record.
    HandleRecordRequest {
        /// Number of the owner.
        owner: u8,
        /// Number of the attempt.
        attempt: u8,
    },
    /// The store applies a commit or rejects it, and the owner receives the answer.
    AnswerCommit {
        /// Number of the owner.
        owner: u8,
    },
    /// The store applies a commit or rejects it, and the answer is lost.
    LoseAnswer {
        /// Number of the owner.
        owner: u8,
    },
    /// A commit is lost before it reaches the store.
    LoseCommit {
        /// Number of the owner.
        owner: u8,
    },
    /// An owner stops waiting for the answer to its commit and reads the journal.
    ReadBack {
        /// Number of the owner.
        owner: u8,
    },
    /// A daemon claims the cell.
    Claim {
        /// Number of the owner.
        owner: u8,
    },
    /// The owner's grant reaches the entry daemon.
    ReceiveGrant {
        /// Number of the attempt.
        attempt: u8,
    },
    /// The owner's refusal reaches the entry daemon.
    ReceiveRefusal {
        /// Number of the attempt.
        attempt: u8,
    },
    /// The entry daemon sends the request to the runner.
    SendRequest {
        /// Number of the attempt.
        attempt: u8,
    },
    /// The entry daemon has the record but no free slot, and reports "not run".
    Decline {
        /// Number of the attempt.
        attempt: u8,
    },
    /// The runner runs the request.
    ExecuteRequest {
        /// Number of the attempt.
        attempt: u8,
    },
    /// The request is lost before it reaches the runner.
    LoseRequest {
        /// Number of the attempt.
        attempt: u8,
    },
    /// The runner's answer reaches the entry daemon, and so the caller.
    ReceiveAnswer {
        /// Number of the attempt.
        attempt: u8,
    },
    /// The entry daemon stops waiting for the owner or the runner.
    GiveUp {
        /// Number of the attempt.
        attempt: u8,
    },
    /// The entry daemon dies.
    KillEntryDaemon {
        /// Number of the attempt.
        attempt: u8,
    },
}
