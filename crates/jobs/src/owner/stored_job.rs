//! A job loaded from the store.

use crate::owner::JobPlace;
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
    /// Where the job has its home.
    pub place: JobPlace,
    /// Whether the job was cancelled.
    pub is_cancelled: bool,
}
