//! The owner of the jobs and workers of a cell.
//!
//! A [`JobOwner`] begins from the [`StoredJob`]s that it finds, the
//! [`OwnerLimits`] and the [`LearntTables`] of the owner before. It gives what changed as a [`CommitBatch`] with a
//! [`QueueCount`] a queue, and what is to be done as [`OwnerEffect`]s: a
//! [`StartOrder`], a [`StopOrder`], a [`LookOrder`] or a [`PaceOrder`]. What it
//! decided and why, a [`RunCause`] for each run, it tells as [`DecisionNote`]s.

mod commit_batch;
mod decision_note;
mod held_effect;
mod job_entry;
mod job_owner;
mod learnt_tables;
mod look_order;
mod owner_effect;
mod owner_limits;
mod pace_order;
mod queue_count;
mod run_cause;
mod start_order;
mod stop_order;
mod stored_job;
mod wait_key;

pub use commit_batch::CommitBatch;
pub use decision_note::DecisionNote;
pub use job_owner::JobOwner;
pub use learnt_tables::LearntTables;
pub use look_order::LookOrder;
pub use owner_effect::OwnerEffect;
pub use owner_limits::OwnerLimits;
pub use pace_order::PaceOrder;
pub use queue_count::QueueCount;
pub use run_cause::RunCause;
pub use start_order::StartOrder;
pub use stop_order::StopOrder;
pub use stored_job::StoredJob;

pub(crate) use held_effect::HeldEffect;
pub(crate) use job_entry::JobEntry;
pub(crate) use wait_key::WaitKey;
