//! Calls to workers.
//!
//! A [`WorkerClient`] opens sessions, and starts, stops and throttles tasks. A
//! call is done, or fails with a [`WorkerError`] that says what is known of its
//! effect.

mod worker_client;
mod worker_error;

pub use worker_client::WORKER_ANSWER_MAX_BYTES;
pub use worker_client::WorkerClient;
pub use worker_error::WorkerError;
