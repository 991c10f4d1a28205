//! What lasts of a job.
//!
//! A [`JobRecord`] is stored after each change that matters: which tasks are done,
//! how often they failed, and the [`Assignment`] of each that may run. Its
//! [`OccurrenceRecord`]s hold [`StepRecord`]s of [`TaskRecord`]s, each in a
//! [`TaskPhase`]. Callers are shown a [`JobStanding`].

mod assignment;
mod job_record;
mod job_standing;
mod occurrence_record;
mod step_record;
mod task_phase;
mod task_record;

pub use assignment::Assignment;
pub use job_record::JobRecord;
pub use job_standing::JobStanding;
pub use occurrence_record::OccurrenceRecord;
pub use step_record::StepRecord;
pub use task_phase::TaskPhase;
pub use task_record::TaskRecord;
