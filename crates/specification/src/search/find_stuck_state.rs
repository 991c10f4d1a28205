//! Liveness check: every state can heal once faults stop.

use pathfinding::prelude::bfs_reach;

use crate::protocol_model::ProtocolModel;

/// Index of a virtual node that precedes the healed states, where the backward search
/// starts.
const VIRTUAL_ROOT: usize = usize::MAX;

/// A step that is not a fault, by the indexes of its states. Sorted by target first,
/// so that the sources of a target are adjacent.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct FaultFreeEdge {
    target: usize,
    source: usize,
}

/// The first of `states` that must heal but from which no path without faults leads to
/// a healed state. `states` must be sorted and contain every reachable state.
pub(crate) fn find_stuck_state<'a, M: ProtocolModel>(
    model: &M,
    states: &'a [M::State],
) -> Option<&'a M::State> {
    let edges = fault_free_edges(model, states);
    let healed: Vec<usize> = (0..states.len())
        .filter(|index| model.is_healed(&states[*index]))
        .collect();
    let mut can_heal = vec![false; states.len()];
    for index in bfs_reach(VIRTUAL_ROOT, |index| predecessors(*index, &edges, &healed)) {
        if index != VIRTUAL_ROOT {
            can_heal[index] = true;
        }
    }
    let stuck =
        (0..states.len()).find(|index| !can_heal[*index] && model.must_heal(&states[*index]));
    stuck.map(|index| &states[index])
}

fn fault_free_edges<M: ProtocolModel>(model: &M, states: &[M::State]) -> Vec<FaultFreeEdge> {
    let mut edges = Vec::new();
    for (source, state) in states.iter().enumerate() {
        for step in model.next_steps(state) {
            if model.is_fault(&step.action) {
                continue;
            }
            let target = states
                .binary_search(&step.state)
                .expect("every successor of a visited state was visited");
            edges.push(FaultFreeEdge { target, source });
        }
    }
    edges.sort_unstable();
    edges
}

fn predecessors(index: usize, edges: &[FaultFreeEdge], healed: &[usize]) -> Vec<usize> {
    if index == VIRTUAL_ROOT {
        return healed.to_vec();
    }
    let first = edges.partition_point(|edge| edge.target < index);
    let sources = edges[first..].iter();
    sources
        .take_while(|edge| edge.target == index)
        .map(|edge| edge.source)
        .collect()
}
