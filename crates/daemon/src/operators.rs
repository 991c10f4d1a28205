//! The operators' port.
//!
//! An [`OperatorService`] finds the call in the path and answers with the
//! bodies of [`sapphirestile_wire::api`]. Whatever changes state needs the
//! operators' token; a [`TryLimiter`] slows down peers that try wrong ones by
//! its [`TryVerdict`].

mod console_calls;
mod document_calls;
mod job_calls;
mod operator_call;
mod operator_service;
mod status_calls;
mod token_guard;
mod try_limiter;
mod try_row;
mod try_verdict;

pub use operator_call::OperatorCall;
pub use operator_service::OperatorService;
pub use try_limiter::TryLimiter;
pub use try_verdict::TryVerdict;
