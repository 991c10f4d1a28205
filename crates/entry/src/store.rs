//! Rows that the daemons keep in the store.
//!
//! [`RowKeys`] builds the keys of the rows: the [`OwnershipRow`], the specification and
//! the cancellation of each job as callers sent them, the progress of each job, and the
//! number of waiting jobs per queue. An [`IntakeSource`] reads specifications and
//! cancellations as [`IntakeEvent`]s. A [`RowCodec`] encodes and decodes the values.

mod document_copy;
mod document_report;
mod earlier_ownership_row;
mod early_cancellation;
mod home_row;
mod intake_event;
mod intake_source;
mod ownership_row;
mod row_codec;
mod row_keys;
mod transfer_row;

pub use document_copy::DocumentCopy;
pub use document_report::DocumentReport;
pub use early_cancellation::EarlyCancellation;
pub use home_row::HomeRow;
pub use intake_event::IntakeEvent;
pub use intake_source::IntakeSource;
pub use ownership_row::OwnershipRow;
pub use row_keys::RowKeys;
pub use transfer_row::TransferRow;

pub(crate) use row_codec::RowCodec;
