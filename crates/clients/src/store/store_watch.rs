//! The parameters of a watch.

/// Waits for changes below a prefix after a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreWatch<'a> {
    /// The prefix of the keys to watch.
    pub prefix: &'a str,
    /// The store revision up to which the caller knows all changes.
    pub after: u64,
}
