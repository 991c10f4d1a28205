//! Room for urgent work.
//!
//! When an urgent task finds no room, [`choose_victims`] looks at the
//! [`RunningTask`]s of the backlog and answers with a [`VictimChoice`]: one
//! worker and the few tasks there to checkpoint and stop.

mod running_task;
mod victim_choice;
mod victim_search;

pub use running_task::RunningTask;
pub use victim_choice::VictimChoice;
pub use victim_search::choose_victims;
