//! JSON bodies of the etcd v3 API, as served by its JSON gateway.
//!
//! | call | request body | response body |
//! | --- | --- | --- |
//! | `POST /v3/kv/range` | [`RangeRequest`] | [`RangeResponse`] |
//! | `POST /v3/kv/txn` | [`TxnRequest`] | [`TxnResponse`] |
//! | `POST /v3/lease/grant` | [`GrantRequest`] | [`LeaseResponse`] |
//! | `POST /v3/lease/keepalive` | [`KeepAliveRequest`] | a [`StreamLine`] with a [`LeaseResponse`] |
//! | `POST /v3/watch` | [`WatchRequest`] | lines, each a [`StreamLine`] with a [`WatchResponse`] |
//!
//! A transaction consists of [`CompareClause`]s and [`TxnWrite`]s. Keys and values
//! are encoded as [`Base64Bytes`], 64-bit numbers as [`DecimalNumber`]s. A response
//! with a status other than 200 has an [`ErrorResponse`] as its body. Only the fields
//! that are used are decoded; all others are ignored.

mod base64_bytes;
mod bytes_visitor;
mod compare_clause;
mod compare_result;
mod compare_target;
mod decimal_number;
mod decimal_visitor;
mod delete_request;
mod error_response;
mod grant_request;
mod keep_alive_request;
mod key_value;
mod lease_response;
mod put_request;
mod range_request;
mod range_response;
mod response_header;
mod stream_line;
mod txn_request;
mod txn_response;
mod txn_write;
mod watch_create;
mod watch_event;
mod watch_request;
mod watch_response;

pub use base64_bytes::Base64Bytes;
pub use compare_clause::CompareClause;
pub use compare_result::CompareResult;
pub use compare_target::CompareTarget;
pub use decimal_number::DecimalNumber;
pub use delete_request::DeleteRequest;
pub use error_response::ErrorResponse;
pub use grant_request::GrantRequest;
pub use keep_alive_request::KeepAliveRequest;
pub use key_value::KeyValue;
pub use lease_response::LeaseResponse;
pub use put_request::PutRequest;
pub use range_request::RangeRequest;
pub use range_response::RangeResponse;
pub use response_header::ResponseHeader;
pub use stream_line::StreamLine;
pub use txn_request::TxnRequest;
pub use txn_response::TxnResponse;
pub use txn_write::TxnWrite;
pub use watch_create::WatchCreate;
pub use watch_event::WatchEvent;
pub use watch_request::WatchRequest;
pub use watch_response::WatchResponse;

/// The maximum size of a row's value, in bytes.
pub const VALUE_MAX_BYTES: usize = 1024 * 1024;
