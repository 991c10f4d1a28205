//! What is still to be had from a job.

/// What is still to be had from a job, the best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UrgencyClass {
    /// It has begun and can end in time.
    BegunInTime,
    /// It can begin and end in time.
    InTime,
    /// It will be late.
    Late,
    /// It will be too late to be of use.
    Useless,
}
