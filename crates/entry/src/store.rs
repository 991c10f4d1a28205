//! What the daemon keeps in the store.
//!
//! [`RowKeys`] names the rows: the [`HeadRow`] of the owner, a row for each job as
//! its caller ordered it and one for each cancellation, a row for each job's
//! record, and one for the counts of waiting jobs. An [`IntakeSource`] reads orders
//! and cancellations as [`IntakeEvent`]s. A [`RowCodec`] encodes them.

mod head_row;
mod intake_event;
mod intake_source;
mod row_codec;
mod row_keys;

pub use head_row::HeadRow;
pub use intake_event::IntakeEvent;
pub use intake_source::IntakeSource;
pub use row_keys::RowKeys;

pub(crate) use row_codec::RowCodec;
