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
    /// Another daemon has claimed the cell. The entry may have been committed before the
    /// claim: it is in the journal, or a snapshot has replaced the entries there.
    Deposed,
}
