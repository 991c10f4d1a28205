//! The injected faults.
//!
//! A [`FaultPlan`] selects the [`FaultKind`]s of a seed: either a single kind or a random
//! subset. [`FaultCounts`] counts the injected faults by kind.

mod fault_counts;
mod fault_kind;
mod fault_plan;

pub use fault_counts::FaultCounts;
pub use fault_kind::FaultKind;
pub use fault_plan::FaultPlan;
