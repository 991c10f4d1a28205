//! Rules of the token protocol that the model can leave out.

/// A rule to leave out. The search has to find a trace that breaks a property.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenMutation {
    /// A member that does not answer in time is considered gone without proof.
    TimeoutAsProof,
    /// The receiver adds one token for each message instead of taking the largest total.
    ReceiverAdds,
    /// Members report their totals with a gone member without closing them.
    NoClosing,
    /// Reclaimed tokens may be used at once.
    NoWait,
    /// The sender adds a token to its total after it has sent it, not before.
    CountAfterSending,
    /// The removal of a member does not add its totals with the others to their grants.
    CountsDropped,
    /// Members that are gone at the same time are removed one by one.
    RemovedOneByOne,
}

impl TokenMutation {
    /// All mutations with their names on the command line.
    pub const ALL: [(&'static str, Self); 7] = [
        ("timeout-as-proof", Self::TimeoutAsProof),
        ("receiver-adds", Self::ReceiverAdds),
        ("no-closing", Self::NoClosing),
        ("no-wait", Self::NoWait),
        ("count-after-sending", Self::CountAfterSending),
        ("counts-dropped", Self::CountsDropped),
        ("removed-one-by-one", Self::RemovedOneByOne),
    ];
}
