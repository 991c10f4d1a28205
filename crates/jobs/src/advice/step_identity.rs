//! Identity of a step.

use std::fmt::Display;
use std::fmt::Formatter;

use crate::spec::JobIdentity;
use crate::spec::TaskIdentity;

/// Identifies one step of one occurrence of a job.
///
/// # Examples
///
/// ```
/// use sapphirestile_jobs::StepIdentity;
/// use sapphirestile_jobs::TaskIdentity;
///
/// let task = TaskIdentity::try_from("5c0e7a21d94b36f8.0.1.17").unwrap();
/// assert_eq!(StepIdentity::from(task).to_string(), "5c0e7a21d94b36f8.0.1");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepIdentity {
    /// Job that the step belongs to.
    pub job: JobIdentity,
    /// Index of the occurrence, from 0.
    pub occurrence: u32,
    /// Index of the step, from 0.
    pub step: u32,
}

impl From<TaskIdentity> for StepIdentity {
    fn from(task: TaskIdentity) -> Self {
        Self {
            job: task.job,
            occurrence: task.occurrence,
            step: task.step,
        }
    }
}

impl Display for StepIdentity {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let Self {
            job,
            occurrence,
            step,
        } = self;
        write!(formatter, "{job}.{occurrence}.{step}")
    }
}
