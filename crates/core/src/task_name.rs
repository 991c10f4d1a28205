//! The name of a task: its job and its index.

use serde::Deserialize;
use serde::Serialize;

use crate::JobName;
use crate::TaskIndex;

/// The name of a task: the name of its job and its index within the job.
///
/// It is displayed as `JOB/INDEX`.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::JobName;
/// use sapphirestile_core::TaskIndex;
/// use sapphirestile_core::TaskName;
///
/// let job = JobName::try_from("patterns").unwrap();
/// let name = TaskName { job, index: TaskIndex::new(3) };
/// assert_eq!(name.to_string(), "patterns/3");
/// ```
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskName {
    /// The job that the task belongs to.
    pub job: JobName,
    /// The index of the task within its job.
    pub index: TaskIndex,
}

impl std::fmt::Display for TaskName {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}/{}", self.job, self.index)
    }
}
