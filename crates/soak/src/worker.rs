//! The simulated workers.
//!
//! A [`SoakWorker`] wraps the state of the worker stand-in and gives it its own clock. It
//! receives [`WorkerCall`]s; the calling daemon gets a [`CallOutcome`].

mod call_outcome;
mod soak_worker;
mod worker_call;

pub use call_outcome::CallOutcome;
pub use soak_worker::SoakWorker;
pub(crate) use soak_worker::WORKER_SIZE;
pub use worker_call::WorkerCall;
