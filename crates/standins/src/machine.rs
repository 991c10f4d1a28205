//! What a runner and a worker on one machine do to each other.
//!
//! A [`MachineLoad`] is written by the worker and read by the runner: the only
//! coupling between them, and a crude one.

mod machine_load;

pub use machine_load::MachineLoad;
