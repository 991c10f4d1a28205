//! State that all parts of a daemon share.
//!
//! An [`EntryContext`] is created once and passed to every part. Request threads read
//! the [`OperatorState`] without a lock. [`StoreHealth`] records since when calls to
//! the store have failed, and [`StoreTimeout`] adapts the timeout of these calls.

mod entry_context;
mod operator_state;
mod store_health;
mod store_timeout;

pub use entry_context::EntryContext;
pub use operator_state::OperatorState;
pub use store_health::StoreHealth;
pub use store_timeout::StoreTimeout;
