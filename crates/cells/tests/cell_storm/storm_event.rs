//! What may arrive.

use crate::fake_commit::FakeCommit;
use crate::owner_term::OwnerTerm;
use crate::session_answer::SessionAnswer;
use crate::store_answer::StoreAnswer;
use sapphirestile_cells::SessionOrder;
use sapphirestile_cells::StartOrder;
use sapphirestile_cells::StopOrder;
use sapphirestile_core::WorkerName;

/// A message on its way, or a waiting time that ends.
#[derive(Clone, Debug)]
pub enum StormEvent {
    Commit(OwnerTerm, Box<FakeCommit>),
    CommitAnswer(OwnerTerm, u64, StoreAnswer),
    CommitTimeout(OwnerTerm, u64, u32),
    Session(OwnerTerm, SessionOrder),
    SessionAnswer(OwnerTerm, SessionAnswer),
    SessionTimeout(OwnerTerm, WorkerName, u64),
    Start(usize, StartOrder),
    StartAnswer(OwnerTerm, WorkerName),
    Stop(usize, StopOrder),
}

impl StormEvent {
    /// The daemon that it arrives at, if it arrives at one.
    pub const fn receiver(&self) -> Option<OwnerTerm> {
        match self {
            Self::CommitAnswer(term, ..)
            | Self::CommitTimeout(term, ..)
            | Self::SessionAnswer(term, ..)
            | Self::SessionTimeout(term, ..)
            | Self::StartAnswer(term, ..) => Some(*term),
            Self::Commit(..) | Self::Session(..) | Self::Start(..) | Self::Stop(..) => None,
        }
    }
}
