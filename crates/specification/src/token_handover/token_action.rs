//! Steps of the token protocol.

/// A step of a member, the runner, the store or the environment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenAction {
    /// A member hands a token over: it adds the token to its total, then sends the total.
    SendToken {
        /// Number of the member that sends.
        from: u8,
        /// Number of the member that receives.
        to: u8,
    },
    /// A member adds a token to its total that it has already sent. Only with
    /// [`TokenMutation::CountAfterSending`](crate::TokenMutation::CountAfterSending).
    CountSentToken {
        /// Number of the member that sends.
        from: u8,
    },
    /// A member receives a total.
    ReceiveTotal {
        /// Number of the member that sends.
        from: u8,
        /// Number of the member that receives.
        to: u8,
        /// The total in the message; it may be older than the sender's current total.
        total: u8,
    },
    /// A member sends a request to the runner, which occupies one of its tokens.
    BeginRequest {
        /// Number of the member.
        member: u8,
    },
    /// A request of the member ends at the runner.
    EndRequest {
        /// Number of the member.
        member: u8,
    },
    /// A member's process dies; its requests continue at the runner.
    Kill {
        /// Number of the member.
        member: u8,
    },
    /// The VM list or the next incarnation proves that a member is gone.
    ProveGone {
        /// Number of the member.
        member: u8,
    },
    /// A new incarnation joins the ledger without tokens.
    Join {
        /// Number of the member.
        member: u8,
    },
    /// A member closes its totals with one that is gone: it accepts no more from it.
    CloseTotals {
        /// Number of the member.
        member: u8,
        /// Number of the member that is gone.
        gone: u8,
    },
    /// The member's final totals with one that is gone are written to the ledger.
    ReportTotals {
        /// Number of the member.
        member: u8,
        /// Number of the member that is gone.
        gone: u8,
    },
    /// A member removes one that is gone from the ledger, and is granted its tokens.
    Reclaim {
        /// Number of the member.
        member: u8,
        /// Number of the member that is gone.
        gone: u8,
    },
    /// One tick passes.
    Tick,
}
