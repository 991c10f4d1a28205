//! A client of workers.
//!
//! A [`WorkerClient`] opens and renews sessions, and starts, stops and throttles tasks.
//! A failed call is a [`WorkerError`], which states whether the call may have taken
//! effect.

mod worker_client;
mod worker_error;

pub use worker_client::WORKER_RESPONSE_MAX_BYTES;
pub use worker_client::WorkerClient;
pub use worker_error::WorkerError;
