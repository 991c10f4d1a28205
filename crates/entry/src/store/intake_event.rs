//! Requests of callers as read from the store.

use sapphirestile_jobs::DelegatedTask;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobSpec;
use sapphirestile_jobs::ReturnedTask;

/// A caller's request, as stored by any daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IntakeEvent {
    /// A job was submitted.
    Submitted {
        /// The identity of the job.
        identity: JobIdentity,
        /// The specification of the job.
        spec: JobSpec,
        /// The revision of its row.
        revision: u64,
    },
    /// A job was cancelled, or its home has ended it.
    Cancelled(JobIdentity),
    /// A job was cancelled before it was stored, and never will be.
    CancelledEarly {
        /// The identity of the job.
        identity: JobIdentity,
        /// The revision of the cancellation's row.
        revision: u64,
    },
    /// Another cell has delegated a task to this one.
    Delegated(Box<DelegatedTask>),
    /// Another cell has given a task back to this one.
    Returned(ReturnedTask),
    /// A row of a job cannot be read, as when a daemon of a later version wrote it.
    Unreadable(JobIdentity),
}

impl IntakeEvent {
    /// The job that the event is about.
    #[must_use]
    pub const fn job(&self) -> JobIdentity {
        match self {
            Self::Submitted { identity, .. }
            | Self::Cancelled(identity)
            | Self::CancelledEarly { identity, .. }
            | Self::Unreadable(identity) => *identity,
            Self::Delegated(delegated) => delegated.task.job,
            Self::Returned(returned) => returned.task.job,
        }
    }

    /// Whether the event ends a job. Nothing that was stored before it may be handled after.
    #[must_use]
    pub const fn is_cancellation(&self) -> bool {
        matches!(self, Self::Cancelled(_) | Self::CancelledEarly { .. })
    }
}
