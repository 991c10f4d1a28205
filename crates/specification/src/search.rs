//! Exhaustive search of a [`ProtocolModel`](crate::ProtocolModel).
//!
//! [`explore_model`] visits every reachable state in breadth-first order and
//! returns a [`SearchReport`]. Its [`SearchVerdict`] says whether every property
//! holds, or gives the shortest trace to a state that breaks one. When all
//! hold, a second pass walks backwards from the healed states and looks for a
//! state from which no path without faults leads to one of them.

mod explore_model;
mod heal_pass;
mod search_node;
mod search_report;
mod search_verdict;

pub use explore_model::explore_model;
pub use search_report::SearchReport;
pub use search_verdict::SearchVerdict;
