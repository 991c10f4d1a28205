//! Steps of the share protocol.

/// A step of an owner, a task or the network. Decisions change the owner's memory only,
/// until a commit writes them to the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareAction {
    /// The lender decides to lend a share to a borrower.
    LendShare {
        /// Number of the borrower.
        borrower: u8,
    },
    /// The lender sends a borrower the total lent to it.
    SendLent {
        /// Number of the borrower.
        borrower: u8,
    },
    /// A borrower receives a total of lent shares.
    ReceiveLent {
        /// Number of the borrower.
        borrower: u8,
        /// The total in the message; it may be older than the latest one sent.
        total: u8,
    },
    /// A borrower decides to return a share.
    ReturnShare {
        /// Number of the borrower.
        borrower: u8,
    },
    /// A borrower sends the lender the total that it has returned.
    SendReturned {
        /// Number of the borrower.
        borrower: u8,
    },
    /// The lender receives a total of returned shares.
    ReceiveReturned {
        /// Number of the borrower.
        borrower: u8,
        /// The total in the message; it may be older than the latest one sent.
        total: u8,
    },
    /// The lender decides to start a task of its own.
    StartLenderTask,
    /// A task of the lender ends.
    EndLenderTask,
    /// The lender's decisions are committed to its journal.
    CommitLender,
    /// The lender's owner dies, and the next one reads the journal.
    KillLender,
    /// A borrower decides to start a task.
    StartBorrowerTask {
        /// Number of the borrower.
        borrower: u8,
    },
    /// A task of a borrower ends.
    EndBorrowerTask {
        /// Number of the borrower.
        borrower: u8,
    },
    /// A borrower's decisions are committed to its journal.
    CommitBorrower {
        /// Number of the borrower.
        borrower: u8,
    },
    /// A borrower's owner dies, and the next one reads the journal.
    KillBorrower {
        /// Number of the borrower.
        borrower: u8,
    },
}
