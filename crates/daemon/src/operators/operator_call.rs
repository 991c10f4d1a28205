//! A call on the operators' port, found in its method and path.

use sapphirestile_core::JobName;
use sapphirestile_core::TaskIndex;
use sapphirestile_core::ZoneName;

/// A call on the operators' port.
///
/// # Examples
///
/// ```
/// use sapphirestile_daemon::operators::OperatorCall;
///
/// assert_eq!(OperatorCall::find("GET", "/v1/status"), Some(OperatorCall::Status));
/// assert_eq!(OperatorCall::find("GET", "/v1/jobs/Not-A-Name"), None);
/// assert!(OperatorCall::find("POST", "/v1/jobs").unwrap().changes_state());
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCall {
    /// How the daemon is.
    Status,
    /// The platform's VMs.
    Vms,
    /// The configuration in force.
    ShowDocument,
    /// A change of the configuration.
    ChangeDocument,
    /// A zone taken out or returned.
    ChangeZone(ZoneName),
    /// A job submitted.
    SubmitJob,
    /// The jobs.
    ListJobs,
    /// One job.
    ShowJob(JobName),
    /// A job cancelled.
    CancelJob(JobName),
    /// Why a job, or one of its tasks, is as it is.
    Explain(JobName, Option<TaskIndex>),
    /// The daemon's whole state.
    Dump,
    /// Metrics.
    Metrics,
    /// Whether the process works.
    Health,
    /// Whether the daemon takes callers.
    Ready,
}

impl OperatorCall {
    /// Finds the call of a method and a path.
    #[must_use]
    pub fn find(method: &str, path: &str) -> Option<Self> {
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (method, segments.as_slice()) {
            ("GET", ["v1", "status"]) => Some(Self::Status),
            ("GET", ["v1", "vms"]) => Some(Self::Vms),
            ("GET", ["v1", "document"]) => Some(Self::ShowDocument),
            ("PUT", ["v1", "document"]) => Some(Self::ChangeDocument),
            ("POST", ["v1", "zones", zone]) => Some(Self::ChangeZone(name(zone)?)),
            ("POST", ["v1", "jobs"]) => Some(Self::SubmitJob),
            ("GET", ["v1", "jobs"]) => Some(Self::ListJobs),
            ("GET", ["v1", "jobs", job]) => Some(Self::ShowJob(name(job)?)),
            ("POST", ["v1", "jobs", job, "cancel"]) => Some(Self::CancelJob(name(job)?)),
            ("GET", ["v1", "explain", job]) => Some(Self::Explain(name(job)?, None)),
            ("GET", ["v1", "explain", job, index]) => {
                let index = TaskIndex::new(index.parse().ok()?);
                Some(Self::Explain(name(job)?, Some(index)))
            }
            ("GET", ["v1", "dump"]) => Some(Self::Dump),
            ("GET", ["metrics"]) => Some(Self::Metrics),
            ("GET", ["health"]) => Some(Self::Health),
            ("GET", ["ready"]) => Some(Self::Ready),
            _ => None,
        }
    }

    /// Whether the call needs the operators' token.
    #[must_use]
    pub const fn changes_state(&self) -> bool {
        matches!(
            self,
            Self::ChangeDocument | Self::ChangeZone(_) | Self::SubmitJob | Self::CancelJob(_)
        )
    }
}

fn name<'t, N: TryFrom<&'t str>>(text: &'t str) -> Option<N> {
    N::try_from(text).ok()
}
