//! What callers want.

use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobSpec;

/// What a caller wants, as any daemon stored it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IntakeEvent {
    /// A job was handed in.
    Ordered {
        /// Its name.
        identity: JobIdentity,
        /// The order.
        order: JobSpec,
    },
    /// A job was cancelled.
    Cancelled(JobIdentity),
}
