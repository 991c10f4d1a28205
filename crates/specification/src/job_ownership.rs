//! One owner of all jobs, and workers that have leases but no permits.
//!
//! The owner is the daemon that claimed the head row of the store last. It stores which
//! worker a run of the task is assigned to, sends the start order, and polls the workers
//! to learn what they run. Each order carries the owner's epoch, as the fencing token,
//! and starts and polls carry the end of the lease of the worker's runs. An order may be
//! lost, or be carried out long after its sender gave up waiting. A daemon may pause for
//! any time between two steps, and may be suspended while its clock runs on.
//!
//! A new owner concludes when the leases of earlier owners have ended. A daemon that is not
//! the owner reads the head row, and its claim is refused if the row was written since. Each
//! write of the row carries a bound for the leases of each worker, which counts from when the
//! next owner first read the write. The bound is the full authority of the writer, or less for
//! a worker that the write lists: the writer grants no lease to it. A claim lists all workers
//! with what is left of the bounds that it inherited. An owner grants leases to a worker only
//! if neither the latest write known to be stored nor its batch in flight lists the worker.
//!
//! The process at the address of a worker may die and be replaced. Orders name their worker,
//! so another worker at the address rejects them, and its answer to a poll shows that the runs
//! are over that the earlier process must have known. The next incarnation of the same worker
//! accepts its orders, and its clock begins anew. So a start and what a poll carries are sent on
//! a connection on which the incarnation has answered that they are meant for, and are lost with
//! it; stops reach whoever is there.
//!
//! [`JobModel`] is the model, with one task, three daemons and two workers. [`JobState`] is
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
mod lease_bound;
mod order_call;
mod order_outcome;
mod poll_call;
mod poll_response;
mod poll_steps;
mod possible_actions;
mod reachable_workers;
mod run_assignment;
mod run_state;
mod store_steps;
mod tracked_run;
mod tracked_worker;
mod worker_order;
mod worker_process;
mod worker_steps;

pub use job_action::JobAction;
pub use job_bounds::JobBounds;
pub use job_model::JobModel;
pub use job_mutation::JobMutation;
pub use job_state::JobState;
pub use reachable_workers::ReachableWorkers;
