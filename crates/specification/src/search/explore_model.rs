//! Breadth-first search of a model.

use pathfinding::prelude::bfs;
use pathfinding::prelude::bfs_reach;

use crate::model_step::ModelStep;
use crate::protocol_model::ProtocolModel;
use crate::search::SearchReport;
use crate::search::SearchVerdict;
use crate::search::find_stuck_state::find_stuck_state;
use crate::search::search_node::SearchNode;

/// Visits the reachable states of `model` and checks all its properties. Stops at the
/// first state that breaks a safety property.
///
/// # Examples
///
/// ```
/// use sapphirestile_specification::SearchVerdict;
/// use sapphirestile_specification::ZoneOutModel;
/// use sapphirestile_specification::explore_model;
///
/// let report = explore_model(&ZoneOutModel::small(None));
/// assert_eq!(report.verdict, SearchVerdict::Holds);
/// ```
pub fn explore_model<M: ProtocolModel>(model: &M) -> SearchReport {
    let mut states = Vec::new();
    let mut depth = 0;
    for node in bfs_reach(first_node(model), |node| next_nodes(model, node)) {
        depth = node.depth;
        let broken = model.broken_property(&node.state);
        states.push(node.state);
        if let Some(property) = broken {
            let last = &states[states.len() - 1];
            let trace = trace_to(model, last);
            return SearchReport {
                states: states.len(),
                depth,
                verdict: SearchVerdict::Broken { property, trace },
            };
        }
    }
    states.sort_unstable();
    let verdict = match find_stuck_state(model, &states) {
        None => SearchVerdict::Holds,
        Some(state) => SearchVerdict::Stuck {
            trace: trace_to(model, state),
        },
    };
    SearchReport {
        states: states.len(),
        depth,
        verdict,
    }
}

fn first_node<M: ProtocolModel>(model: &M) -> SearchNode<M::State> {
    SearchNode {
        state: model.initial_state(),
        depth: 0,
    }
}

fn next_nodes<M: ProtocolModel>(
    model: &M,
    node: &SearchNode<M::State>,
) -> impl Iterator<Item = SearchNode<M::State>> + use<M> {
    let depth = node.depth + 1;
    let steps = model.next_steps(&node.state);
    steps.into_iter().map(move |step| SearchNode {
        state: step.state,
        depth,
    })
}

fn trace_to<M: ProtocolModel>(model: &M, goal: &M::State) -> Vec<String> {
    let path = bfs(
        &first_node(model),
        |node| next_nodes(model, node),
        |node| node.state == *goal,
    )
    .expect("a visited state is reachable from the initial state");
    let pairs = path.windows(2);
    pairs
        .map(|pair| describe_step(&model.next_steps(&pair[0].state), &pair[1].state))
        .collect()
}

fn describe_step<S: PartialEq, A: std::fmt::Debug>(steps: &[ModelStep<S, A>], next: &S) -> String {
    let step = steps
        .iter()
        .find(|step| step.state == *next)
        .expect("a step leads from each state of a path to the next");
    format!("{:?}", step.action)
}
