//! One owner of all jobs beside workers that know leases and no permits.
//!
//! Two daemons claim the head row of a [`JobState`], one task runs on two
//! workers. An owner stores which worker a run is assigned to, sends the start,
//! and looks at workers to learn what they run. Each order carries the owner's
//! epoch and when its lease ends; it may be lost, or carried out long after its
//! sender gave it up. A daemon may rest for any time between two steps, and may
//! be suspended while its clock runs on.
//!
//! A [`JobMutation`] leaves a rule out. The whole is a [`JobModel`].

mod assigned_phase;
mod daemon_steps;
mod job_action;
mod job_bounds;
mod job_daemon;
mod job_model;
mod job_mutation;
mod job_state;
mod job_store_state;
mod job_worker;
mod known_run;
mod known_standing;
mod known_worker;
mod late_order;
mod link_steps;
mod look_call;
mod look_shown;
mod look_steps;
mod order_answer;
mod order_call;
mod possible_actions;
mod record_write;
mod run_assignment;
mod run_end;
mod run_ends;
mod store_steps;
mod worker_order;
mod worker_steps;

pub use job_action::JobAction;
pub use job_bounds::JobBounds;
pub use job_model::JobModel;
pub use job_mutation::JobMutation;
pub use job_state::JobState;
