//! Which tasks may share a worker, learnt from late measurements.
//!
//! A [`NoiseBook`] takes [`SlowdownSample`]s: by how much work on a worker was
//! slowed and which jobs ran there then. It learns how much each job disturbs
//! others, which the choice of a worker weighs. When a worker is slowed too
//! much, a [`PressureState`] goes through a [`PressureCycle`] and answers with
//! a [`PressureAction`]: throttle before checkpoint and stop;
//! [`choose_pressed`] picks the [`PressureTask`]. Its waits are fitted to the
//! lag of the measurements by a [`PressurePolicy`].

mod calm_phase;
mod noise_book;
mod noise_row;
mod pressure_action;
mod pressure_choice;
mod pressure_cycle;
mod pressure_policy;
mod pressure_state;
mod pressure_task;
mod slowdown_sample;
mod throttled_phase;

pub use calm_phase::CalmPhase;
pub use noise_book::NoiseBook;
pub use pressure_action::PressureAction;
pub use pressure_choice::choose_pressed;
pub use pressure_choice::throttle_steps;
pub use pressure_cycle::PressureCycle;
pub use pressure_policy::PressurePolicy;
pub use pressure_state::PressureState;
pub use pressure_task::PressureTask;
pub use slowdown_sample::SlowdownSample;
pub use throttled_phase::ThrottledPhase;
