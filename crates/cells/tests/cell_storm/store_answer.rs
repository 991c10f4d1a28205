//! Answers of the store.

/// The store's answer to a commit: the new head revision, or a failed guard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreAnswer {
    Done(u64),
    Conflict,
}
