//! The owner of the jobs and workers of a cell.
//!
//! A [`JobOwner`] starts from the [`StoredJob`]s, its [`OwnerLimits`], and the
//! [`LeaseBounds`] and [`LearntTables`] of the previous owner, with a [`LearntCoefficient`]
//! for each pair of images. It emits changed state as a [`CommitBatch`], with a
//! [`QueueCount`] for each queue and a [`JobMove`] for each job that goes to another cell, and
//! requests to workers and to the advisor as [`OwnerEffect`]s: a [`StartRequest`],
//! [`StopRequest`], [`PollRequest`] or [`PaceRequest`]. It reports its decisions as
//! [`DecisionEvent`]s, with a [`RunCause`] for the end of each run.

mod commit_batch;
mod decision_event;
mod deferred_effect;
mod job_entry;
mod job_move;
mod job_owner;
mod learnt_coefficient;
mod learnt_tables;
mod lease_bounds;
mod owner_effect;
mod owner_limits;
mod pace_request;
mod poll_request;
mod queue_count;
mod run_cause;
mod start_request;
mod stop_request;
mod stored_job;
mod wait_key;

pub use commit_batch::CommitBatch;
pub use decision_event::DecisionEvent;
pub use job_move::JobMove;
pub use job_owner::JobOwner;
pub use learnt_coefficient::LearntCoefficient;
pub use learnt_tables::LearntTables;
pub use lease_bounds::LeaseBounds;
pub use owner_effect::OwnerEffect;
pub use owner_limits::OwnerLimits;
pub use pace_request::PaceRequest;
pub use poll_request::PollRequest;
pub use queue_count::QueueCount;
pub use run_cause::RunCause;
pub use start_request::StartRequest;
pub use stop_request::StopRequest;
pub use stored_job::StoredJob;

pub(crate) use deferred_effect::DeferredEffect;
pub(crate) use job_entry::JobEntry;
pub(crate) use wait_key::WaitKey;
