//! Rules of the shares that may be left out.

/// A rule that is left out; the search has to find what breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareMutation {
    /// The lender tells of a share before it is in its journal.
    LentBeforeCommit,
    /// A borrower tells of a return before it is in its journal.
    ReturnedBeforeCommit,
    /// A borrower adds each message instead of taking the largest total.
    BorrowerAdds,
    /// The lender lends what its own tasks use.
    OwnUseLent,
    /// A borrower returns what its tasks use.
    UsedReturned,
    /// A share is told of only by the owner that lent it.
    ToldByItsOwnerOnly,
}

impl ShareMutation {
    /// Every mutation with its name on the command line.
    pub const ALL: [(&'static str, Self); 6] = [
        ("lent-before-commit", Self::LentBeforeCommit),
        ("returned-before-commit", Self::ReturnedBeforeCommit),
        ("borrower-adds", Self::BorrowerAdds),
        ("own-use-lent", Self::OwnUseLent),
        ("used-returned", Self::UsedReturned),
        ("told-by-its-owner-only", Self::ToldByItsOwnerOnly),
    ];
}
