//! Something that happens at a moment.

use crate::CallNews;
use crate::CommitTry;
use crate::ProcessMark;
use crate::StoreAnswer;
use crate::WorkerCall;
use sapphirestile_cells::CellEffect;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;
use sapphirestile_core::ZoneName;

/// Something that happens at a moment.
#[derive(Clone, Debug)]
pub enum SoakEvent {
    /// A daemon does what its cell actors do after each event.
    Step(ProcessMark),
    /// A decided call leaves the daemon.
    CallLeaves {
        /// Who calls.
        from: ProcessMark,
        /// For which cell.
        cell: CellNumber,
        /// What is asked.
        effect: CellEffect,
    },
    /// A call reaches its worker.
    CallArrives {
        /// The call.
        call: WorkerCall,
        /// How long the answer takes, in milliseconds; none when it is lost.
        answer_ms: Option<u64>,
    },
    /// A caller learns of its call.
    News {
        /// Who called.
        to: ProcessMark,
        /// For which cell.
        cell: CellNumber,
        /// Under which claim.
        epoch: CellEpoch,
        /// What it learns.
        news: CallNews,
    },
    /// A daemon sends its commit, again perhaps.
    CommitLeaves {
        /// Who commits.
        from: ProcessMark,
        /// For which cell.
        cell: CellNumber,
        /// Which entry.
        nonce: u64,
    },
    /// A commit reaches the store.
    CommitLands {
        /// Who commits.
        from: ProcessMark,
        /// The commit.
        commit: Box<CommitTry>,
        /// Whether the answer comes back.
        answered: bool,
    },
    /// A daemon learns of its commit, or gives the answer up for lost.
    CommitAnswered {
        /// Who commits.
        to: ProcessMark,
        /// For which cell.
        cell: CellNumber,
        /// Which entry.
        nonce: u64,
        /// The answer.
        answer: Option<StoreAnswer>,
    },
    /// Faults are drawn.
    InjectFaults,
    /// Callers submit, cancel and record.
    SubmitWork,
    /// A zone is returned.
    ZoneReturns(ZoneName),
    /// A daemon starts as a new life.
    DaemonStarts(usize),
}

impl SoakEvent {
    /// The life of a daemon that the event needs.
    #[must_use]
    pub const fn process(&self) -> Option<ProcessMark> {
        match self {
            Self::Step(mark)
            | Self::CallLeaves { from: mark, .. }
            | Self::News { to: mark, .. }
            | Self::CommitLeaves { from: mark, .. }
            | Self::CommitAnswered { to: mark, .. } => Some(*mark),
            Self::CallArrives { .. }
            | Self::CommitLands { .. }
            | Self::InjectFaults
            | Self::SubmitWork
            | Self::ZoneReturns(_)
            | Self::DaemonStarts(_) => None,
        }
    }
}
