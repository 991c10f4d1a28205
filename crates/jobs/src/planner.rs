//! Which task starts next, and where.
//!
//! A [`DurationBook`] learns how long tasks run; by that a [`JobUrgency`] says how
//! soon a job has to end and what is still to be had from it, an [`UrgencyClass`].
//! A [`TaskDemand`] is a borrowed view of a task that can start. A
//! [`WorkerChoice`] ranks the workers that it may start on; [`UnplacedDemands`] says
//! which tasks need not be tried.

mod duration_book;
mod job_urgency;
mod task_demand;
mod unplaced_demands;
mod urgency_class;
mod worker_choice;

pub use duration_book::DurationBook;
pub use job_urgency::JobUrgency;
pub use task_demand::TaskDemand;
pub use unplaced_demands::UnplacedDemands;
pub use urgency_class::UrgencyClass;
pub use worker_choice::WorkerChoice;
