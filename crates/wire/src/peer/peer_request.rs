//! Calls between daemons.

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

/// A call to a peer. All but the first three are addressed to the owner of a cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Checks that the peer answers.
    Ping,
    /// Closes the token counters for a member that is proven to be gone.
    CloseMember(DaemonIdentity),
    /// Requests the configuration if it is newer than this revision.
    Document(ConfigRevision),
    /// Submits a job.
    SubmitJob(CellNumber, JobSubmission),
    /// Cancels a job.
    CancelJob(CellNumber, JobName),
    /// Returns the state of a job.
    ViewJob(CellNumber, JobName),
    /// Explains the state of a job or of one of its tasks.
    Explain(CellNumber, JobName, Option<TaskIndex>),
    /// Lists the jobs of a cell.
    ListJobs(CellNumber),
    /// Records a request that must not be run twice; the number is a nonce.
    RecordRequest(CellNumber, RequestKey, u64),
    /// Withdraws the record of a request that was not run; the number is a nonce.
    WithdrawRequest(CellNumber, RequestKey, u64),
    /// Reports to a lender of quota shares what a cell holds and demands.
    ReportShares(CellNumber, ShareReport),
}
