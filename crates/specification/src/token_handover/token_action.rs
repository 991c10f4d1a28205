//! What may happen to tokens.

/// One step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenAction {
    /// A member hands a token over: it counts, then sends.
    SendToken {
        /// The sender.
        from: u8,
        /// The receiver.
        to: u8,
    },
    /// A member counts what it has already sent.
    CountSent {
        /// The sender.
        from: u8,
    },
    /// A count arrives.
    ReceiveCount {
        /// The sender.
        from: u8,
        /// The receiver.
        to: u8,
        /// The count.
        count: u8,
    },
    /// A member sends a request to the runner.
    BeginRequest {
        /// The member.
        member: u8,
    },
    /// The runner ends a request.
    EndRequest {
        /// The member.
        member: u8,
    },
    /// A member dies; its requests live on at the runner.
    Kill {
        /// The member.
        member: u8,
    },
    /// The VM list or a next incarnation tells of a death.
    LearnDeath {
        /// The member.
        member: u8,
    },
    /// A new incarnation enters the ledger with no token.
    Join {
        /// The member.
        member: u8,
    },
    /// A member closes its counts with one that is gone.
    CloseCounts {
        /// The member.
        member: u8,
        /// The one that is gone.
        gone: u8,
    },
    /// A member's last counts reach the ledger.
    ReportCounts {
        /// The member.
        member: u8,
        /// The one that is gone.
        gone: u8,
    },
    /// A member removes one that is gone and is granted what is left.
    Reclaim {
        /// The member.
        member: u8,
        /// The one that is gone.
        gone: u8,
    },
    /// Time passes.
    Tick,
}
