//! A transition of a model.

/// A transition of a model: an action and the state that it leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ModelStep<S, A> {
    /// The action that is taken.
    pub action: A,
    /// The state after the action.
    pub state: S,
}

impl<S: Clone, A: Copy> ModelStep<S, A> {
    /// One step from `state` for each of `actions`; `apply` changes a copy of the state.
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
