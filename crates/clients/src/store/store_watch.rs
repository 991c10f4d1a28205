//! What to wait for.

/// Waits for changes below a prefix after a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreWatch<'a> {
    /// The prefix of the keys.
    pub prefix: &'a str,
    /// The store revision up to which changes are known.
    pub after: u64,
}
