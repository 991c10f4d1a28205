//! The response to a commit.

/// The store's response to a commit that reached it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitResponse {
    /// The entry was written at this store revision.
    Written(u64),
    /// The head row or the document had another revision than required; nothing was written.
    Conflict,
}
