//! The choice of a worker.
//!
//! [`choose_worker`] reads a [`PlacementRequest`], which borrows the
//! [`CustomerRoom`] of the task's customer and the [`PlacedTasks`] of its job.
//! It answers with a [`PlacementChoice`], whose [`ChoiceReason`] tells a user
//! why, or with a [`PlacementRefusal`].

mod choice_reason;
mod customer_room;
mod placed_tasks;
mod placement_choice;
mod placement_refusal;
mod placement_request;
mod size_text;
mod worker_choice;

pub use choice_reason::ChoiceReason;
pub use customer_room::CustomerRoom;
pub use placed_tasks::PlacedTasks;
pub use placement_choice::PlacementChoice;
pub use placement_refusal::PlacementRefusal;
pub use placement_request::PlacementRequest;
pub use worker_choice::choose_worker;
