//! The owner of the jobs and workers of a cell.
//!
//! A [`JobOwner`] begins from the [`StoredJob`]s that it finds and the
//! [`OwnerLimits`]. It gives what changed as a [`CommitBatch`] with a
//! [`QueueCount`] a queue, and what is to be done as [`OwnerEffect`]s: a
//! [`StartOrder`], a [`StopOrder`], a [`LookOrder`] or a [`PaceOrder`].

mod commit_batch;
mod held_effect;
mod job_entry;
mod job_owner;
mod look_order;
mod owner_effect;
mod owner_limits;
mod pace_order;
mod queue_count;
mod run_result;
mod start_order;
mod stop_order;
mod stored_job;
mod wait_key;

pub use commit_batch::CommitBatch;
pub use job_owner::JobOwner;
pub use look_order::LookOrder;
pub use owner_effect::OwnerEffect;
pub use owner_limits::OwnerLimits;
pub use pace_order::PaceOrder;
pub use queue_count::QueueCount;
pub use start_order::StartOrder;
pub use stop_order::StopOrder;
pub use stored_job::StoredJob;

pub(crate) use held_effect::HeldEffect;
pub(crate) use job_entry::JobEntry;
pub(crate) use run_result::RunResult;
pub(crate) use wait_key::WaitKey;
