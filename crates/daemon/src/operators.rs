//! The operators' port.
//!
//! An [`OperatorService`] finds the call in the path and answers with the bodies
//! of [`sapphirestile_wire::api`]. Whatever changes state needs the operators'
//! token.

mod console_calls;
mod document_calls;
mod job_calls;
mod operator_call;
mod operator_service;
mod status_calls;

pub use operator_call::OperatorCall;
pub use operator_service::OperatorService;
