//! Forwards requests to runners.
//!
//! A [`RunnerClient`] forwards a [`RunnerRequest`] once and returns a
//! [`RunnerOutcome`]: a whole [`HttpAnswer`](crate::http::HttpAnswer) to this
//! very request, a proof that it was not run, or neither.

mod forwarded_headers;
mod runner_client;
mod runner_outcome;
mod runner_request;

pub use runner_client::NOT_RUN_HEADER;
pub use runner_client::REQUEST_ID_HEADER;
pub use runner_client::RunnerClient;
pub use runner_outcome::RunnerOutcome;
pub use runner_request::RunnerRequest;
