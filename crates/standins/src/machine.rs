//! Interference between a runner and a worker on one machine.
//!
//! A [`MachineLoad`] is written by the worker and read by the runner. It is the only
//! connection between them, and a coarse model: requests run longer in proportion to the
//! CPU time that batch tasks use.

mod machine_load;

pub use machine_load::MachineLoad;
