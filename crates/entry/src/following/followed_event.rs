//! What a follower gives.

/// What a follower gives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowedEvent<E> {
    /// All there is: what is not among it is gone.
    Whole(Vec<E>),
    /// What changed since.
    Changed(Vec<E>),
}
