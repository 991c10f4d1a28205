//! The store's answer.

/// What a commit was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreAnswer {
    Done(u64),
    Beaten,
}
