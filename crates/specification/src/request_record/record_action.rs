//! What may happen to a request.

/// One step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordAction {
    /// The caller comes to an entry daemon.
    BeginTry {
        /// The try.
        entry: u8,
    },
    /// An owner handles the try's question.
    HandleAsk {
        /// The owner.
        owner: u8,
        /// The try.
        entry: u8,
    },
    /// The store carries out a commit or refuses it, and the owner hears of it.
    AnswerCommit {
        /// The owner.
        owner: u8,
    },
    /// The store carries out a commit or refuses it, and the answer is lost.
    LoseAnswer {
        /// The owner.
        owner: u8,
    },
    /// A commit is lost before the store.
    LoseCommit {
        /// The owner.
        owner: u8,
    },
    /// An owner waits no longer and reads the journal.
    ReadBack {
        /// The owner.
        owner: u8,
    },
    /// An owner claims the cell.
    Claim {
        /// The owner.
        owner: u8,
    },
    /// The owner's grant arrives.
    ReceiveGrant {
        /// The try.
        entry: u8,
    },
    /// The owner's refusal arrives.
    ReceiveRefusal {
        /// The try.
        entry: u8,
    },
    /// The entry daemon sends the request to the runner.
    SendRequest {
        /// The try.
        entry: u8,
    },
    /// The entry daemon has no slot for a request whose record it has.
    Decline {
        /// The try.
        entry: u8,
    },
    /// The runner runs the request.
    Run {
        /// The try.
        entry: u8,
    },
    /// The request is lost before the runner.
    LoseRequest {
        /// The try.
        entry: u8,
    },
    /// The runner's answer arrives.
    ReceiveAnswer {
        /// The try.
        entry: u8,
    },
    /// The entry daemon waits no longer.
    GiveUp {
        /// The try.
        entry: u8,
    },
    /// The entry daemon dies.
    KillEntry {
        /// The try.
        entry: u8,
    },
}
