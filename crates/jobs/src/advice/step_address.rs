//! The name of one step.

use std::fmt::Display;
use std::fmt::Formatter;

use crate::order::JobIdentity;
use crate::order::TaskAddress;

/// One step of one occurrence of a job.
///
/// # Examples
///
/// ```
/// use sapphirestile_jobs::StepAddress;
/// use sapphirestile_jobs::TaskAddress;
///
/// let task = TaskAddress::try_from("5c0e7a21d94b36f8.0.1.17").unwrap();
/// assert_eq!(StepAddress::from(task).to_string(), "5c0e7a21d94b36f8.0.1");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepAddress {
    /// The job.
    pub job: JobIdentity,
    /// The occurrence, from 0.
    pub occurrence: u32,
    /// The step, from 0.
    pub step: u32,
}

impl From<TaskAddress> for StepAddress {
    fn from(task: TaskAddress) -> Self {
        Self {
            job: task.job,
            occurrence: task.occurrence,
            step: task.step,
        }
    }
}

impl Display for StepAddress {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let Self {
            job,
            occurrence,
            step,
        } = self;
        write!(formatter, "{job}.{occurrence}.{step}")
    }
}
