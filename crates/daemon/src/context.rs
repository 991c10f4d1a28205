//! State that all parts of a daemon share.
//!
//! A [`DaemonContext`] is created once at startup and passed to every part. Tables
//! that requests read are [`RcuValue`]s, so that a reader never waits for a writer;
//! all times come from one [`MonoClock`]. The context holds the daemon's
//! [`AtomicPhase`], the time of the last answer of the store as a [`StoreContact`],
//! and the latest [`RefusalRecord`]s in a [`RefusalLog`]. [`StoreKeys`] lists the keys
//! of the store; a [`RepeatLimiter`] limits how often a repeated fault is logged.

mod atomic_phase;
mod daemon_context;
mod refusal_log;
mod refusal_record;
mod repeat_limiter;
mod store_contact;
mod store_keys;

pub use atomic_phase::AtomicPhase;
pub use daemon_context::DaemonContext;
pub use refusal_log::RefusalLog;
pub use refusal_record::RefusalRecord;
pub use repeat_limiter::RepeatLimiter;
pub use store_contact::StoreContact;
pub use store_keys::StoreKeys;

pub use sapphirestile_serving::MonoClock;
pub use sapphirestile_serving::RcuValue;
