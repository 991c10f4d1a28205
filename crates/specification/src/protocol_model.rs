//! A protocol as a graph of states.

use std::fmt::Debug;
use std::hash::Hash;

use crate::model_step::ModelStep;

/// A protocol at fixed bounds: where it begins, what may happen in each state
/// and what must hold in all of them.
pub trait ProtocolModel {
    /// One state of every process, message and ghost variable.
    type State: Clone + Debug + Eq + Ord + Hash;
    /// What leads from one state to another.
    type Action: Clone + Debug;

    /// The only state in which the protocol begins.
    fn initial_state(&self) -> Self::State;

    /// All that may happen in `state`.
    fn next_steps(&self, state: &Self::State) -> Vec<ModelStep<Self::State, Self::Action>>;

    /// The property that `state` breaks, if any.
    fn broken_property(&self, state: &Self::State) -> Option<&'static str>;

    /// Whether `action` is a fault: paths that heal do without it.
    fn is_fault(&self, action: &Self::Action) -> bool;

    /// Whether a path without faults has to lead from `state` to a healed one.
    ///
    /// False where a bound of the model, not the protocol, ends the path.
    fn must_heal(&self, state: &Self::State) -> bool;

    /// Whether the work is done in `state`.
    fn is_healed(&self, state: &Self::State) -> bool;
}
