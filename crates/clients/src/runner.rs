//! Forwards requests to runners.
//!
//! A [`RunnerClient`] forwards a [`RunnerRequest`] once and returns a
//! [`RunnerOutcome`]: a complete [`HttpResponse`](crate::http::HttpResponse) to this
//! request, proof that the request was not run, or an unknown outcome.

mod forwarded_headers;
mod runner_client;
mod runner_outcome;
mod runner_request;

pub use runner_client::NOT_RUN_HEADER;
pub use runner_client::REQUEST_ID_HEADER;
pub use runner_client::RunnerClient;
pub use runner_outcome::RunnerOutcome;
pub use runner_request::RunnerRequest;
