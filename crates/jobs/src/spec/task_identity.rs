//! Identity of a task.

use serde::Deserialize;
use serde::Serialize;

use crate::spec::JobIdentity;
use crate::spec::JobSpecError;

/// Identifies one task of a job, as `JOB.OCCURRENCE.STEP.INDEX` in text.
///
/// # Examples
///
/// ```
/// use sapphirestile_jobs::TaskIdentity;
///
/// let task = TaskIdentity::try_from("5c0e7a21d94b36f8.0.1.17").unwrap();
/// assert_eq!((task.occurrence, task.step, task.index), (0, 1, 17));
/// assert_eq!(task.to_string(), "5c0e7a21d94b36f8.0.1.17");
/// assert!(TaskIdentity::try_from("5c0e7a21d94b36f8.0.1").is_err());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskIdentity {
    /// Job that the task belongs to.
    pub job: JobIdentity,
    /// Index of the occurrence, from 0.
    pub occurrence: u32,
    /// Index of the step, from 0.
    pub step: u32,
    /// Index of the task within the step, from 0.
    pub index: u32,
}

impl TryFrom<&str> for TaskIdentity {
    type Error = JobSpecError;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        let mut parts = text.split('.');
        let job = parts.next().ok_or(JobSpecError::Task)?;
        let mut number = || -> Result<u32, JobSpecError> {
            let part = parts.next().ok_or(JobSpecError::Task)?;
            part.parse().map_err(|_| JobSpecError::Task)
        };
        let task = Self {
            job: JobIdentity::try_from(job)?,
            occurrence: number()?,
            step: number()?,
            index: number()?,
        };
        match parts.next() {
            None => Ok(task),
            Some(_) => Err(JobSpecError::Task),
        }
    }
}

impl std::fmt::Display for TaskIdentity {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(formatter, "{job}.{occurrence}.{step}.{index}")
    }
}
