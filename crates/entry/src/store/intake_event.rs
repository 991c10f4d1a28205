//! Requests of callers as read from the store.

use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobSpec;

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
    /// A job was cancelled.
    Cancelled(JobIdentity),
}
