//! Startup, serving and shutdown of a daemon.
//!
//! An [`EntryDaemon`] starts with its [`EntryAdapters`] in the [`ServingPhase`]; a
//! planned stop takes it to the [`DrainingPhase`].

mod draining_phase;
mod entry_adapters;
mod entry_daemon;
mod serving_phase;

pub use draining_phase::DrainingPhase;
pub use entry_adapters::EntryAdapters;
pub use entry_daemon::EntryDaemon;
pub use serving_phase::ServingPhase;
