//! What may happen to shares.

/// One step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareAction {
    /// The lender decides to lend a share.
    Lend {
        /// To whom.
        borrower: u8,
    },
    /// The lender tells a borrower what it has lent.
    TellLent {
        /// To whom.
        borrower: u8,
    },
    /// A total of lent shares reaches a borrower.
    HearLent {
        /// The borrower.
        borrower: u8,
        /// The total.
        total: u8,
    },
    /// A borrower decides to return a share.
    Return {
        /// The borrower.
        borrower: u8,
    },
    /// A borrower tells the lender what it has returned.
    TellReturned {
        /// The borrower.
        borrower: u8,
    },
    /// A total of returned shares reaches the lender.
    HearReturned {
        /// The borrower.
        borrower: u8,
        /// The total.
        total: u8,
    },
    /// The lender decides to start a task of its own.
    StartHere,
    /// A task of the lender ends.
    EndHere,
    /// The lender's decisions reach its journal.
    CommitHere,
    /// The lender's owner dies; the next one reads the journal.
    KillHere,
    /// A borrower decides to start a task.
    Start {
        /// The borrower.
        borrower: u8,
    },
    /// A task of a borrower ends.
    End {
        /// The borrower.
        borrower: u8,
    },
    /// A borrower's decisions reach its journal.
    Commit {
        /// The borrower.
        borrower: u8,
    },
    /// A borrower's owner dies; the next one reads the journal.
    Kill {
        /// The borrower.
        borrower: u8,
    },
}
