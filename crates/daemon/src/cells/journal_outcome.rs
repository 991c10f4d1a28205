//! What became of an entry.

/// What became of an entry, once that is certain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JournalOutcome {
    /// It is in the journal.
    Done,
    /// It is not: the configuration has moved on.
    ConfigMoved,
    /// It is not, and never will be: another daemon wrote the entry of its place.
    Beaten,
    /// Another daemon has claimed the cell, and whether the entry came before that
    /// claim cannot be told any more.
    Deposed,
}
