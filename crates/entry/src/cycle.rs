//! The life of a daemon.
//!
//! An [`EntryCycle`] starts with its [`EntryPorts`], serves in [`ServingPhase`], and
//! takes its leave in [`DrainingPhase`].

mod draining_phase;
mod entry_cycle;
mod entry_ports;
mod serving_phase;

pub use draining_phase::DrainingPhase;
pub use entry_cycle::EntryCycle;
pub use entry_ports::EntryPorts;
pub use serving_phase::ServingPhase;
