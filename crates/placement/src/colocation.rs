//! Control of interference between tasks on the same worker.
//!
//! A [`SlowdownModel`] learns from [`SlowdownSample`]s, which arrive late: how
//! much work on a worker was slowed down, and which jobs had tasks there at that
//! time. Its prediction of how much each job interferes with others is used by the
//! choice of a worker. When the slowdown on a worker is too large, its
//! [`PressureState`] decides on a [`PressureAction`]: throttle tasks first, and
//! checkpoint and stop one if that does not suffice. [`choose_pressure_target`]
//! selects the [`PressureTask`]. A [`PressurePolicy`] sets thresholds and waiting
//! times that account for the lag of the measurements.

mod job_interference;
mod pressure_action;
mod pressure_choice;
mod pressure_cycle;
mod pressure_policy;
mod pressure_state;
mod pressure_task;
mod slowdown_model;
mod slowdown_sample;
mod throttled_phase;
mod unthrottled_phase;

pub use pressure_action::PressureAction;
pub use pressure_choice::choose_pressure_target;
pub use pressure_choice::release_steps;
pub use pressure_cycle::PressureCycle;
pub use pressure_policy::PressurePolicy;
pub use pressure_state::PressureState;
pub use pressure_task::PressureTask;
pub use slowdown_model::SlowdownModel;
pub use slowdown_sample::SlowdownSample;
pub use throttled_phase::ThrottledPhase;
pub use unthrottled_phase::UnthrottledPhase;
