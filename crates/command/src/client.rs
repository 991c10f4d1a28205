//! Calls of a daemon's operator port.
//!
//! An [`OperatorClient`] makes a [`CallRequest`] of one daemon after the other
//! until a [`CallAnswer`] comes. A [`CallFailure`] says whether the request may
//! have been carried out.

mod call_answer;
mod call_failure;
mod call_request;
mod operator_client;

pub use call_answer::CallAnswer;
pub use call_failure::CallFailure;
pub use call_request::CallRequest;
pub use operator_client::OperatorClient;
