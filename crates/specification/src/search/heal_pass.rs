//! Whether every state can heal once faults stop.

use pathfinding::prelude::bfs_reach;

use crate::protocol_model::ProtocolModel;

const ROOT: usize = usize::MAX;

/// One step without faults, by the places of its states.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct HealingEdge {
    target: usize,
    source: usize,
}

/// The first of the sorted `states` from which no path without faults leads to
/// a healed state.
pub(crate) fn find_stuck_state<'a, M: ProtocolModel>(
    model: &M,
    states: &'a [M::State],
) -> Option<&'a M::State> {
    let edges = healing_edges(model, states);
    let healed: Vec<usize> = (0..states.len())
        .filter(|place| model.is_healed(&states[*place]))
        .collect();
    let mut heals = vec![false; states.len()];
    for place in bfs_reach(ROOT, |place| sources_of(*place, &edges, &healed)) {
        if place != ROOT {
            heals[place] = true;
        }
    }
    let stuck = (0..states.len()).find(|place| !heals[*place] && model.must_heal(&states[*place]));
    stuck.map(|place| &states[place])
}

fn healing_edges<M: ProtocolModel>(model: &M, states: &[M::State]) -> Vec<HealingEdge> {
    let mut edges = Vec::new();
    for (source, state) in states.iter().enumerate() {
        for step in model.next_steps(state) {
            if model.is_fault(&step.action) {
                continue;
            }
            let target = states
                .binary_search(&step.state)
                .expect("every successor was visited");
            edges.push(HealingEdge { target, source });
        }
    }
    edges.sort_unstable();
    edges
}

fn sources_of(place: usize, edges: &[HealingEdge], healed: &[usize]) -> Vec<usize> {
    if place == ROOT {
        return healed.to_vec();
    }
    let first = edges.partition_point(|edge| edge.target < place);
    let sources = edges[first..].iter();
    sources
        .take_while(|edge| edge.target == place)
        .map(|edge| edge.source)
        .collect()
}
