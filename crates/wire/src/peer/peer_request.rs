//! What a daemon asks of a peer.

use serde::Deserialize;
use serde::Serialize;

use crate::api::JobSubmission;
use sapphirestile_cells::ShareReport;
use sapphirestile_core::CellNumber;
use sapphirestile_core::ConfigRevision;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::JobName;
use sapphirestile_core::RequestKey;
use sapphirestile_core::TaskIndex;

/// A call to a peer. All but the first three go to the owner of a cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Whether the peer is there.
    Ping,
    /// Closes the counters of tokens with a member that is proven gone.
    CloseMember(DaemonIdentity),
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
    /// Records a request that must not run twice, with a nonce.
    RecordRequest(CellNumber, RequestKey, u64),
    /// Takes the record of a request back that was not run.
    WithdrawRequest(CellNumber, RequestKey, u64),
    /// Tells a lender of quotas what a cell holds and wants of them.
    ReportShares(CellNumber, ShareReport),
}
