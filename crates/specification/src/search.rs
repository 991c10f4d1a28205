//! Exhaustive search of a [`ProtocolModel`](crate::ProtocolModel).
//!
//! [`explore_model()`] visits every reachable state in breadth-first order and returns a
//! [`SearchReport`]. Its [`SearchVerdict`] is that all properties hold, or a shortest
//! trace to a state that breaks one. If every safety property holds, a second pass
//! checks liveness: it searches backwards from the healed states for a state from which
//! no path without faults leads to one of them.

mod explore_model;
mod find_stuck_state;
mod search_node;
mod search_report;
mod search_verdict;

pub use explore_model::explore_model;
pub use search_report::SearchReport;
pub use search_verdict::SearchVerdict;
