//! Urgency classes of jobs.

/// Whether a job can still meet its completion objective; classes are in scheduling order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UrgencyClass {
    /// The job has started and can still meet its objective.
    StartedOnTime,
    /// The job has not started and can still meet its objective.
    OnTime,
    /// The job will miss its objective.
    Late,
    /// The job will end too late to be of use.
    Useless,
}
