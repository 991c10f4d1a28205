//! A task without a run goes from the home of its job to another cell, and returns.
//!
//! The protocol guarantees that the task is in one cell at any time and runs in one at most,
//! and that a cancellation reaches it wherever it is. The owner of the cell that has the task
//! stores its record and the row for the other cell in one commit, which the store refuses
//! once another owner has claimed the cell or the job was cancelled. Transfers and runs are
//! numbered in one sequence, and an owner takes a row only if its number is higher than all
//! that it knows of. The home tells the other cell to end the task before it records the end.
//!
//! A [`TransferState`] holds the [`TransferStore`] and the [`TransferOwner`] of each
//! [`TransferCell`], who sends one [`TransferCommit`] at a time. [`TransferModel`] is the
//! model, and a [`TransferMutation`] is a rule that it can leave out. How an owner learns that
//! a run has ended is the subject of the job protocol; here it always knows.

mod late_commit;
mod task_view;
mod transfer_action;
mod transfer_cell;
mod transfer_commit;
mod transfer_model;
mod transfer_mutation;
mod transfer_owner;
mod transfer_state;
mod transfer_steps;
mod transfer_store;

pub use late_commit::LateCommit;
pub use task_view::TaskView;
pub use transfer_action::TransferAction;
pub use transfer_cell::TransferCell;
pub use transfer_commit::TransferCommit;
pub use transfer_model::TransferModel;
pub use transfer_mutation::TransferMutation;
pub use transfer_owner::TransferOwner;
pub use transfer_state::TransferState;
pub use transfer_store::TransferStore;
