//! A job loaded from the store.

use crate::progress::JobProgress;
use crate::spec::JobIdentity;
use crate::spec::JobSpec;

/// A job loaded from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredJob {
    /// Identity chosen by the caller.
    pub identity: JobIdentity,
    /// Specification by the caller.
    pub spec: JobSpec,
    /// Latest stored progress; `None` if no owner has stored any.
    pub progress: Option<JobProgress>,
    /// Whether the caller has cancelled the job.
    pub is_cancelled: bool,
}
