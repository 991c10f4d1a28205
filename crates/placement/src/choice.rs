//! The choice of a worker.
//!
//! [`choose_worker`] reads a [`PlacementRequest`], which borrows the
//! [`CustomerQuota`] of the task's customer and the [`PlacedTasks`] of its job.
//! It returns a [`PlacementChoice`], whose [`ChoiceReason`] explains it to users,
//! or a [`PlacementRefusal`].

mod choice_reason;
mod customer_quota;
mod placed_tasks;
mod placement_choice;
mod placement_refusal;
mod placement_request;
mod size_text;
mod worker_choice;

pub use choice_reason::ChoiceReason;
pub use customer_quota::CustomerQuota;
pub use placed_tasks::PlacedTasks;
pub use placement_choice::PlacementChoice;
pub use placement_refusal::PlacementRefusal;
pub use placement_request::PlacementRequest;
pub use worker_choice::choose_worker;
