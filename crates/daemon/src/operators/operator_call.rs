//! The calls of the operators' port.

use sapphirestile_core::JobName;
use sapphirestile_core::TaskIndex;
use sapphirestile_core::ZoneName;

/// A call on the operators' port, with the parameters in its path.
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
    /// Shows the status of the daemon.
    Status,
    /// Lists the platform's VMs.
    Vms,
    /// Shows the active document.
    ShowDocument,
    /// Replaces the document, or only validates the new one.
    ChangeDocument,
    /// Sets the state of a zone.
    ChangeZone(ZoneName),
    /// Submits a job.
    SubmitJob,
    /// Lists all jobs.
    ListJobs,
    /// Shows a job.
    ShowJob(JobName),
    /// Cancels a job.
    CancelJob(JobName),
    /// Explains the state of a job or of one of its tasks.
    Explain(JobName, Option<TaskIndex>),
    /// Shows the internal state of the daemon.
    Dump,
    /// Shows the metrics in the `OpenMetrics` format.
    Metrics,
    /// Replies as long as the process runs.
    Health,
    /// Replies with status 200 only while the daemon is serving.
    Ready,
}

impl OperatorCall {
    /// The call of a method and a path; `None` if there is none or a name in the path is
    /// invalid.
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

    /// `true` if the call changes state and therefore needs the operators' token.
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
