//! Specifications of jobs, as submitted by callers.
//!
//! A [`JobSpec`] is identified by a [`JobIdentity`] and consists of [`StepSpec`]s, each
//! with a number of identical tasks that need the same [`ResourceVector`]. A
//! [`RepeatRule`] runs the steps several times. A [`TaskIdentity`] identifies one task.
//! [`QueueTerms`] are the terms of the queue at the time when it accepted the job.

mod job_identity;
mod job_spec;
mod job_spec_error;
mod queue_terms;
mod repeat_rule;
mod resource_vector;
mod step_spec;
mod task_identity;

pub use job_identity::JobIdentity;
pub use job_spec::JobSpec;
pub use job_spec_error::JobSpecError;
pub use queue_terms::QueueTerms;
pub use repeat_rule::RepeatRule;
pub use resource_vector::ResourceVector;
pub use step_spec::StepSpec;
pub use task_identity::TaskIdentity;
