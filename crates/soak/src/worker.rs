//! The workers of a run.
//!
//! A [`SoakWorker`] is the state of the worker's stand-in with a clock of its
//! own. A [`WorkerCall`] reaches it, and [`CallNews`] comes back.

mod call_news;
mod soak_worker;
mod worker_call;

pub use call_news::CallNews;
pub use soak_worker::SoakWorker;
pub(crate) use soak_worker::WORKER_SIZE;
pub use worker_call::WorkerCall;
