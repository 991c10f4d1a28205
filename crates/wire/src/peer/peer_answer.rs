//! The answer to a call between daemons.

use serde::Deserialize;
use serde::Serialize;

use crate::api::JobSubmission;
use crate::api::JobSummary;
use crate::api::JobView;
use crate::api::StoredDocument;
use crate::peer::PeerFault;
use sapphirestile_cells::ShareAnswer;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::ConfigRevision;
use sapphirestile_core::JournalSequence;
use sapphirestile_slots::ClosedReport;

/// The answer to a [`PeerRequest`](crate::peer::PeerRequest).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// The answer to a [`PeerRequest::Ping`](crate::peer::PeerRequest::Ping).
    Pong,
    /// The peer's active configuration, or `None` when it is not newer than the
    /// revision in the request.
    Document(Option<(ConfigRevision, StoredDocument)>),
    /// The final values of the counters that were closed.
    Closed(ClosedReport),
    /// The current state of the job.
    Job(JobView),
    /// The explained subject, and the lines of the explanation.
    Explained(String, Vec<String>),
    /// The jobs of a cell.
    Jobs(Vec<JobSummary>),
    /// The job name is taken by this different submission.
    NameTaken(JobSubmission),
    /// The request was recorded and may be sent.
    Recorded {
        /// The epoch of the cell's owner.
        epoch: CellEpoch,
        /// The sequence number of the journal entry that holds the record.
        sequence: JournalSequence,
    },
    /// The record was withdrawn.
    Withdrawn,
    /// The request was recorded earlier and must not be sent again.
    AlreadyRecorded,
    /// The quota shares that the lender has lent.
    Shares(Vec<ShareAnswer>),
    /// The call failed.
    Fault(PeerFault),
}
