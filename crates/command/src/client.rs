//! HTTP client of the operator port of daemons.
//!
//! An [`OperatorClient`] sends an [`OperatorRequest`] to one daemon after the other
//! until one of them returns an [`OperatorResponse`]. A [`ClientError`] tells whether
//! the request may have been carried out.

mod client_error;
mod operator_client;
mod operator_request;
mod operator_response;

pub use client_error::ClientError;
pub use operator_client::OperatorClient;
pub use operator_request::OperatorRequest;
pub use operator_response::OperatorResponse;
