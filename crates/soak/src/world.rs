//! The world of a run.
//!
//! A [`SoakWorld`] takes one [`SoakEvent`] after the other out of its
//! [`EventQueue`]. [`run_seed`] runs one until all its work has ended. The
//! [`RunLedger`] keeps the [`JobTries`] of every job and what was started.

mod event_queue;
mod job_tries;
mod run_ledger;
mod run_seed;
mod soak_event;
mod soak_world;
mod try_fate;

pub use event_queue::EventQueue;
pub use job_tries::JobTries;
pub use run_ledger::RunLedger;
pub use run_seed::run_seed;
pub use soak_event::SoakEvent;
pub use soak_world::SoakWorld;
pub use try_fate::TryFate;
