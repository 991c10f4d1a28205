//! Where a task starts.
//!
//! A [`TaskDemand`] is a borrowed view of a task that can start. A
//! [`WorkerChoice`] ranks the workers that it may start on.

mod task_demand;
mod worker_choice;

pub use task_demand::TaskDemand;
pub use worker_choice::WorkerChoice;
