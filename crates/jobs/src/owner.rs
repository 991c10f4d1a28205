//! The owner of the jobs and workers of a cell.
//!
//! A [`JobOwner`] starts from the [`StoredJob`]s, its [`OwnerLimits`], and the
//! [`LeaseBounds`] and [`LearntTables`] of the previous owner, with a [`LearntCoefficient`]
//! for each pair of images. It emits changed state as a [`CommitBatch`], with a
//! [`QueueCount`] for each queue and a [`JobMove`] for each job that goes to another cell. A
//! [`JobTransfer`] has the [`TaskTransfer`]s of a job: a [`DelegatedTask`] goes to another cell
//! while its job stays at home, a [`ReturnedTask`] comes back, and [`JobPlace`] says on which
//! side an owner is; a [`GuestRemoval`] cleans up. It also emits
//! requests to workers and to the advisor as [`OwnerEffect`]s: a [`StartRequest`],
//! [`StopRequest`], [`PollRequest`] or [`PaceRequest`]. It reports its decisions as
//! [`DecisionEvent`]s, with a [`RunCause`] for the end of each run.

mod commit_batch;
mod decision_event;
mod deferred_effect;
mod delegated_task;
mod departing_need;
mod guest_removal;
mod idle_task;
mod job_age;
mod job_departure;
mod job_entry;
mod job_move;
mod job_owner;
mod job_place;
mod job_transfer;
mod learnt_coefficient;
mod learnt_tables;
mod lease_bounds;
mod owner_effect;
mod owner_limits;
mod pace_request;
mod poll_request;
mod queue_count;
mod returned_task;
mod run_cause;
mod start_request;
mod stop_cause;
mod stop_request;
mod stored_job;
mod task_transfer;
mod unapplied_end;
mod unplaced_task;
mod wait_causes;
mod wait_key;

pub use commit_batch::CommitBatch;
pub use decision_event::DecisionEvent;
pub use delegated_task::DelegatedTask;
pub use guest_removal::GuestRemoval;
pub use idle_task::IdleTask;
pub use job_move::JobMove;
pub use job_owner::JobOwner;
pub use job_place::JobPlace;
pub use job_transfer::JobTransfer;
pub use learnt_coefficient::LearntCoefficient;
pub use learnt_tables::LearntTables;
pub use lease_bounds::LeaseBounds;
pub use owner_effect::OwnerEffect;
pub use owner_limits::OwnerLimits;
pub use pace_request::PaceRequest;
pub use poll_request::PollRequest;
pub use queue_count::QueueCount;
pub use returned_task::ReturnedTask;
pub use run_cause::RunCause;
pub use start_request::StartRequest;
pub use stop_cause::StopCause;
pub use stop_request::StopRequest;
pub use stored_job::StoredJob;
pub use task_transfer::TaskTransfer;
pub use unapplied_end::UnappliedEnd;
pub use wait_causes::WaitCauses;

pub(crate) use deferred_effect::DeferredEffect;
pub(crate) use departing_need::DepartingNeed;
pub(crate) use job_age::JobAge;
pub(crate) use job_departure::JobDeparture;
pub(crate) use job_entry::JobEntry;
pub(crate) use unplaced_task::UnplacedTask;
pub(crate) use wait_key::WaitKey;
