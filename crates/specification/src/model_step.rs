//! One step of a protocol.

/// What happened, and the state that it led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ModelStep<S, A> {
    /// What happened.
    pub action: A,
    /// The state afterwards.
    pub state: S,
}
