//! Rules of the share protocol that the model can leave out.

/// A rule to leave out. The search has to find a trace that breaks a property.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareMutation {
    /// The lender sends the total before the loan is committed to its journal.
    LentBeforeCommit,
    /// A borrower sends the total before the return is committed to its journal.
    ReturnedBeforeCommit,
    /// A borrower adds one share for each message instead of taking the largest total.
    BorrowerAdds,
    /// The lender lends shares that its own tasks use.
    OwnUseLent,
    /// A borrower returns shares that its tasks use.
    UsedReturned,
    /// A total is sent only by the owner that lent the share, not by the next owner of the
    /// cell.
    ToldByItsOwnerOnly,
}

impl ShareMutation {
    /// All mutations with their names on the command line.
    pub const ALL: [(&'static str, Self); 6] = [
        ("lent-before-commit", Self::LentBeforeCommit),
        ("returned-before-commit", Self::ReturnedBeforeCommit),
        ("borrower-adds", Self::BorrowerAdds),
        ("own-use-lent", Self::OwnUseLent),
        ("used-returned", Self::UsedReturned),
        ("told-by-its-owner-only", Self::ToldByItsOwnerOnly),
    ];
}
