//! The outcome of a commit to the journal.

/// The outcome of a commit to the journal, once it is certain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JournalOutcome {
    /// The entry is in the journal.
    Done,
    /// The entry is not in the journal, because the configuration revision that the
    /// commit requires is no longer the latest.
    ConfigMoved,
    /// The entry is not in the journal and never will be: another daemon wrote the entry
    /// with the same sequence number.
    Beaten,
    /// Another daemon has claimed the cell, and the entry may have been committed before
    /// that: the journal contains it, or a snapshot has replaced the entries up to it, after
    /// which this can no longer be determined.
    Deposed,
}
