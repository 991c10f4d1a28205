//! Preemption in favour of urgent tasks.
//!
//! When an urgent task cannot be placed, [`choose_victims`] selects among the
//! [`RunningTask`]s that are not urgent. It returns a [`VictimChoice`]: one worker
//! and the tasks on it to checkpoint and stop.

mod running_task;
mod victim_choice;
mod victim_search;

pub use running_task::RunningTask;
pub use victim_choice::VictimChoice;
pub use victim_search::choose_victims;
