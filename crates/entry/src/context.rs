//! What all parts of the daemon share.
//!
//! An [`EntryContext`] is made once and passed to every part. Requests read the
//! [`DeployedView`] without a lock; a [`StorePulse`] says whether the store answers, and
//! [`CallPatience`] how long to wait for it.

mod call_patience;
mod deployed_view;
mod entry_context;
mod store_pulse;

pub use call_patience::CallPatience;
pub use deployed_view::DeployedView;
pub use entry_context::EntryContext;
pub use store_pulse::StorePulse;
