//! The faults that a run injects.
//!
//! A [`FaultPlan`] draws the [`FaultKind`]s of a seed: one alone, or several
//! together. [`FaultCounts`] counts what was injected.

mod fault_counts;
mod fault_kind;
mod fault_plan;

pub use fault_counts::FaultCounts;
pub use fault_kind::FaultKind;
pub use fault_plan::FaultPlan;
