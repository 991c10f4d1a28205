//! What an owner knows of the disturbance beside each worker.
//!
//! Daemons say by how much requests beside a worker were slowed, a
//! [`SlowdownView`] each. A [`WorkerSamples`] keeps the latest of each daemon
//! in a [`SampleRow`], drops what its [`MessageOrder`] shows to be old, and
//! weighs the rest by requests into a [`CombinedSlowdown`]. The
//! [`PressureBook`] keeps a [`PressureRecord`] of each worker, and the
//! throttles asked for, a [`ThrottleRow`] each, and decides by
//! `sapphirestile_placement`: a [`PressureStep`] for one [`PressedTask`]. A
//! [`ThrottleSight`] is what a report shows of a throttle.

mod combined_slowdown;
mod message_order;
mod pressed_task;
mod pressure_book;
mod pressure_record;
mod pressure_step;
mod sample_row;
mod slowdown_view;
mod throttle_row;
mod throttle_sight;
mod worker_samples;

pub use combined_slowdown::CombinedSlowdown;
pub use message_order::MessageOrder;
pub use pressed_task::PressedTask;
pub use pressure_book::PressureBook;
pub use pressure_record::PressureRecord;
pub use pressure_step::PressureStep;
pub use sample_row::SampleRow;
pub use slowdown_view::SlowdownView;
pub use throttle_row::ThrottleRow;
pub use throttle_sight::ThrottleSight;
pub use worker_samples::WorkerSamples;
