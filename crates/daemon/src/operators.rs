//! The port for operators: the HTTP API and the console.
//!
//! An [`OperatorService`] finds the [`OperatorCall`] of a request's method and path, and
//! replies with the bodies of [`sapphirestile_wire::api`]. Calls that change state need
//! the operators' token. An [`AuthLimiter`] pauses clients that send wrong tokens too
//! often, with an [`AuthVerdict`] for each token.

mod auth_failures;
mod auth_limiter;
mod auth_verdict;
mod console_handler;
mod document_handler;
mod job_handler;
mod operator_call;
mod operator_service;
mod status_handler;
mod token_checker;

pub use auth_limiter::AuthLimiter;
pub use auth_verdict::AuthVerdict;
pub use operator_call::OperatorCall;
pub use operator_service::OperatorService;
