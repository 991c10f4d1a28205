//! Durable state of a job.
//!
//! A [`JobProgress`] is stored after each relevant change: which tasks are done, how
//! often they failed, and the [`Assignment`] of each that may be running. It holds an
//! [`OccurrenceProgress`] for each active occurrence, with a [`StepProgress`] for each
//! step and a [`TaskProgress`] for each task, which is in a [`TaskStage`]. Callers see
//! the [`JobStanding`].

mod assignment;
mod job_progress;
mod job_standing;
mod occurrence_progress;
mod step_progress;
mod task_progress;
mod task_stage;

pub use assignment::Assignment;
pub use job_progress::JobProgress;
pub use job_standing::JobStanding;
pub use occurrence_progress::OccurrenceProgress;
pub use step_progress::StepProgress;
pub use task_progress::TaskProgress;
pub use task_stage::TaskStage;
