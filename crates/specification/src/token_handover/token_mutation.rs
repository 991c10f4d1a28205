//! Rules of the tokens that may be left out.

/// A rule that is left out; the search has to find what breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenMutation {
    /// A silent member is taken for gone.
    TimeoutAsProof,
    /// The receiver adds each message instead of taking the largest count.
    ReceiverAdds,
    /// Members report their counts with a gone member without closing them.
    NoClosing,
    /// Reclaimed tokens are used at once.
    NoWait,
    /// The sender counts after it has sent.
    CountAfterSending,
    /// The ledger drops the counts with a removed member.
    CountsDropped,
    /// Members that are gone together are removed one by one.
    RemovedOneByOne,
}

impl TokenMutation {
    /// Every mutation with its name on the command line.
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
