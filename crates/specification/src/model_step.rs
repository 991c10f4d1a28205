//! One step of a protocol.

/// What happened, and the state that it led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ModelStep<S, A> {
    /// What happened.
    pub action: A,
    /// The state afterwards.
    pub state: S,
}

impl<S: Clone, A: Copy> ModelStep<S, A> {
    /// The steps that `actions` lead to from `state`, each carried out by `apply`.
    #[must_use]
    pub fn from_actions(
        state: &S,
        actions: impl IntoIterator<Item = A>,
        apply: impl Fn(&mut S, A),
    ) -> Vec<Self> {
        let steps = actions.into_iter().map(|action| {
            let mut next = state.clone();
            apply(&mut next, action);
            Self {
                action,
                state: next,
            }
        });
        steps.collect()
    }
}
