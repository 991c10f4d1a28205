//! What a daemon asks of a peer.

use serde::Deserialize;
use serde::Serialize;

use crate::api::JobSubmission;
use sapphirestile_core::CellNumber;
use sapphirestile_core::ConfigRevision;
use sapphirestile_core::JobName;
use sapphirestile_core::TaskIndex;

/// A call to a peer. All but the first two go to the owner of a cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Whether the peer is there.
    Ping,
    /// The configuration, when it is newer than this revision.
    Document(ConfigRevision),
    /// Submits a job.
    SubmitJob(CellNumber, JobSubmission),
    /// Cancels a job.
    CancelJob(CellNumber, JobName),
    /// Shows a job.
    ViewJob(CellNumber, JobName),
    /// Explains why a job, or one of its tasks, is as it is.
    Explain(CellNumber, JobName, Option<TaskIndex>),
    /// Lists the jobs of a cell.
    ListJobs(CellNumber),
    /// Records a request that must not run twice.
    RecordRequest(CellNumber, String),
}
