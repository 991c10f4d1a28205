//! What a peer answers.

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

/// A peer's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// The peer is there.
    Pong,
    /// The configuration that is in force at the peer, if it is newer.
    Document(Option<(ConfigRevision, StoredDocument)>),
    /// The counters, closed.
    Closed(ClosedReport),
    /// The job as it stands.
    Job(JobView),
    /// Why a subject is as it is.
    Explained(String, Vec<String>),
    /// The jobs of a cell.
    Jobs(Vec<JobSummary>),
    /// A different job has the name.
    NameTaken(JobSubmission),
    /// The request was recorded and may be sent.
    Recorded {
        /// The epoch of the cell's owner.
        epoch: CellEpoch,
        /// The entry that holds the record.
        sequence: JournalSequence,
    },
    /// The record was taken back.
    Withdrawn,
    /// The request was recorded before and must not be sent again.
    AlreadyRecorded,
    /// What a lender has lent.
    Shares(Vec<ShareAnswer>),
    /// The call failed.
    Fault(PeerFault),
}
