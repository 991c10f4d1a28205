//! Rules of the transfer protocol that the model can leave out.

/// A rule to leave out. The search has to find a trace that breaks a property.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferMutation {
    /// The record of a transfer is stored before the row for the other cell.
    RecordFirst,
    /// The row for the other cell is stored before the record of the transfer.
    RowFirst,
    /// An owner takes a row whatever its number.
    NumberIgnored,
    /// An owner starts the task while it is being transferred.
    StartWhileTransferred,
    /// The store applies the commit of a former owner.
    NoHeadGuard,
    /// The end of the job is stored before the other cell is told.
    EndBeforeRevocation,
}

impl TransferMutation {
    /// All mutations with their names on the command line.
    pub const ALL: [(&'static str, Self); 6] = [
        ("record-first", Self::RecordFirst),
        ("row-first", Self::RowFirst),
        ("number-ignored", Self::NumberIgnored),
        ("start-while-transferred", Self::StartWhileTransferred),
        ("no-head-guard", Self::NoHeadGuard),
        ("end-before-revocation", Self::EndBeforeRevocation),
    ];
}
