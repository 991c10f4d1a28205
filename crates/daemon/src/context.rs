//! What all operations of a daemon share.
//!
//! A [`DaemonContext`] is made once at the start and passed to every operation.
//! Tables that requests read are [`RcuValue`]s; time comes from one
//! [`MonoClock`].

mod daemon_context;
mod phase_gauge;
mod refusal_log;
mod refusal_note;
mod repeat_gate;
mod store_keys;
mod store_pulse;

pub use daemon_context::DaemonContext;
pub use phase_gauge::PhaseGauge;
pub use refusal_log::RefusalLog;
pub use refusal_note::RefusalNote;
pub use repeat_gate::RepeatGate;
pub use store_keys::StoreKeys;
pub use store_pulse::StorePulse;

pub use sapphirestile_serving::MonoClock;
pub use sapphirestile_serving::RcuValue;
