//! Bodies of the JSON gateway of the published etcd v3 API.
//!
//! Keys and values travel as [`Base64Bytes`], 64-bit numbers as
//! [`DecimalNumber`]s. `POST /v3/kv/range` takes a [`RangeCall`] and answers a
//! [`RangeAnswer`]; `POST /v3/kv/txn` takes a [`TxnCall`] of
//! [`CompareClause`]s and [`TxnWrite`]s and answers a [`TxnAnswer`];
//! `POST /v3/lease/grant` takes a [`GrantCall`] and answers a [`LeaseAnswer`];
//! `POST /v3/lease/keepalive` takes a [`KeepCall`] and answers a [`StreamLine`]
//! with a [`LeaseAnswer`]; `POST /v3/watch` takes a [`WatchCall`] and answers
//! lines, each a [`StreamLine`] with a [`WatchAnswer`]. Another status than 200
//! comes with an [`ErrorAnswer`]. Only the fields that
//! are used are read; the others are passed over.

mod answer_header;
mod base64_bytes;
mod bytes_visitor;
mod compare_clause;
mod compare_result;
mod compare_target;
mod decimal_number;
mod decimal_visitor;
mod delete_call;
mod error_answer;
mod grant_call;
mod keep_call;
mod key_value;
mod lease_answer;
mod put_call;
mod range_answer;
mod range_call;
mod stream_line;
mod txn_answer;
mod txn_call;
mod txn_write;
mod watch_answer;
mod watch_call;
mod watch_create;
mod watch_event;

pub use answer_header::AnswerHeader;
pub use base64_bytes::Base64Bytes;
pub use compare_clause::CompareClause;
pub use compare_result::CompareResult;
pub use compare_target::CompareTarget;
pub use decimal_number::DecimalNumber;
pub use delete_call::DeleteCall;
pub use error_answer::ErrorAnswer;
pub use grant_call::GrantCall;
pub use keep_call::KeepCall;
pub use key_value::KeyValue;
pub use lease_answer::LeaseAnswer;
pub use put_call::PutCall;
pub use range_answer::RangeAnswer;
pub use range_call::RangeCall;
pub use stream_line::StreamLine;
pub use txn_answer::TxnAnswer;
pub use txn_call::TxnCall;
pub use txn_write::TxnWrite;
pub use watch_answer::WatchAnswer;
pub use watch_call::WatchCall;
pub use watch_create::WatchCreate;
pub use watch_event::WatchEvent;

/// The largest value of a row, in bytes.
pub const VALUE_MAX_BYTES: usize = 1024 * 1024;
