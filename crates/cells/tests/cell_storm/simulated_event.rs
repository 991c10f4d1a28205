//! Simulated events.

use crate::fake_commit::FakeCommit;
use crate::owner_term::OwnerTerm;
use crate::session_answer::SessionAnswer;
use crate::store_answer::StoreAnswer;
use sapphirestile_cells::AttemptStart;
use sapphirestile_cells::AttemptStop;
use sapphirestile_cells::SessionRenewal;
use sapphirestile_core::WorkerName;

/// A message in flight, or a pending timeout.
#[derive(Clone, Debug)]
pub enum SimulatedEvent {
    Commit(OwnerTerm, Box<FakeCommit>),
    CommitAnswer(OwnerTerm, u64, StoreAnswer),
    CommitTimeout(OwnerTerm, u64, u32),
    Session(OwnerTerm, SessionRenewal),
    SessionAnswer(OwnerTerm, SessionAnswer),
    SessionTimeout(OwnerTerm, WorkerName, u64),
    Start(usize, AttemptStart),
    StartAnswer(OwnerTerm, WorkerName),
    Stop(usize, AttemptStop),
}

impl SimulatedEvent {
    /// The daemon and term that receives it; `None` when no daemon does.
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
