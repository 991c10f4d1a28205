//! A protocol as a state machine.

use std::fmt::Debug;
use std::hash::Hash;

use crate::model_step::ModelStep;

/// A protocol at fixed bounds: its initial state, the steps from each state, and the
/// properties that are checked.
///
/// [`broken_property`](Self::broken_property) checks safety in every reachable state.
/// The other property is liveness, named `heals`: from every state where
/// [`must_heal`](Self::must_heal) is true, a path without faults leads to a state where
/// [`is_healed`](Self::is_healed) is true.
pub trait ProtocolModel {
    /// State of all processes and messages in flight, with the facts about the past that
    /// the properties check.
    type State: Clone + Debug + Eq + Ord + Hash;
    /// A step that one process, the network or the environment takes. Traces show its
    /// `Debug` output.
    type Action: Clone + Debug;

    /// The only initial state.
    fn initial_state(&self) -> Self::State;

    /// All steps that are possible in `state`.
    fn next_steps(&self, state: &Self::State) -> Vec<ModelStep<Self::State, Self::Action>>;

    /// Name of the safety property that `state` breaks; `None` if all hold.
    fn broken_property(&self, state: &Self::State) -> Option<&'static str>;

    /// Whether `action` is a fault or another step that liveness must not depend on.
    fn is_fault(&self, action: &Self::Action) -> bool;

    /// Whether a path without faults must lead from `state` to a healed state.
    ///
    /// False where a bound of the model, not the protocol, prevents such a path.
    fn must_heal(&self, state: &Self::State) -> bool;

    /// Whether `state` is a goal of the liveness property, such as a finished task.
    fn is_healed(&self, state: &Self::State) -> bool;
}
