//! Ports to external systems.
//!
//! A [`StorePort`] keeps rows, which it lists within [`ListTimeouts`]: a [`StoreCommit`] of
//! [`RowWrite`]s guarded by [`RowGuard`]s ends in a [`CommitAnswer`], and a [`StoreCallError`]
//! says what is known about a failed call. An [`EventSource`] lists and watches events of one
//! kind; a [`RowWatchPort`] creates those of rows. A [`WorkerPort`] sends requests to workers,
//! and an [`AdvicePort`] to the advisor.

mod advice_port;
mod commit_answer;
mod event_listing;
mod event_source;
mod list_timeouts;
mod row_change;
mod row_guard;
mod row_listing;
mod row_watch_port;
mod row_write;
mod store_call_error;
mod store_commit;
mod store_port;
mod stored_row;
mod worker_port;

pub use advice_port::AdvicePort;
pub use commit_answer::CommitAnswer;
pub use event_listing::EventListing;
pub use event_source::EventSource;
pub use list_timeouts::ListTimeouts;
pub use row_change::RowChange;
pub use row_guard::RowGuard;
pub use row_listing::RowListing;
pub use row_watch_port::RowWatchPort;
pub use row_write::RowWrite;
pub use store_call_error::StoreCallError;
pub use store_commit::StoreCommit;
pub use store_port::StorePort;
pub use stored_row::StoredRow;
pub use worker_port::WorkerPort;
