//! One owner of all jobs, and workers that have leases but no permits.
//!
//! The owner is the daemon that claimed the head row of the store last. It stores which
//! worker a run of the task is assigned to, sends the start order, and polls the workers
//! to learn what they run. Each order carries the owner's epoch, as the fencing token,
//! and starts and polls carry the end of the lease of the worker's runs. An order may be
//! lost, or be carried out long after its sender gave up waiting. A daemon may pause for
//! any time between two steps, and may be suspended while its clock runs on.
//!
//! [`JobModel`] is the model, with one task, two daemons and two workers. [`JobState`] is
//! its state, [`JobAction`] a step, and [`JobBounds`] are its bounds. A [`JobMutation`]
//! is a rule that the model can leave out. Its "look" is a poll, as the names of the
//! mutations on the command line have it.

mod addressed_order;
mod assignment_state;
mod call_steps;
mod commit_batch;
mod daemon_steps;
mod ended_run;
mod ended_runs;
mod job_action;
mod job_bounds;
mod job_daemon;
mod job_model;
mod job_mutation;
mod job_state;
mod job_store_state;
mod job_worker;
mod order_call;
mod order_outcome;
mod poll_call;
mod poll_response;
mod poll_steps;
mod possible_actions;
mod run_assignment;
mod run_state;
mod store_steps;
mod tracked_run;
mod tracked_worker;
mod worker_order;
mod worker_steps;

pub use job_action::JobAction;
pub use job_bounds::JobBounds;
pub use job_model::JobModel;
pub use job_mutation::JobMutation;
pub use job_state::JobState;
