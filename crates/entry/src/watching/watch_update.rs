//! An update from a watched source.

/// An update from a watched source.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchUpdate<E> {
    /// A complete listing: whatever it does not contain no longer exists.
    Snapshot(Vec<E>),
    /// The changes since the previous update; empty when there were none.
    Changes(Vec<E>),
}
