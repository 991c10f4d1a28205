//! The simulation of a run.
//!
//! A [`SoakSimulation`] handles the [`SoakEvent`]s of its [`EventQueue`] in the order of their
//! time. [`run_seed()`] runs one simulation until all its tasks have ended. The
//! [`InvariantTracker`] records the [`JobSubmissions`] of every job and the attempts that were
//! assigned, started and ended.

mod event_queue;
mod invariant_tracker;
mod job_submissions;
mod run_seed;
mod soak_event;
mod soak_simulation;
mod submission_outcome;

pub use event_queue::EventQueue;
pub use invariant_tracker::InvariantTracker;
pub use job_submissions::JobSubmissions;
pub use run_seed::run_seed;
pub use soak_event::SoakEvent;
pub use soak_simulation::SoakSimulation;
pub use submission_outcome::SubmissionOutcome;
