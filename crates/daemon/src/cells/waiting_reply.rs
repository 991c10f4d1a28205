//! An answer that waits for a commit.

use crossbeam::channel::Sender;
use sapphirestile_core::JournalSequence;
use sapphirestile_wire::peer::PeerAnswer;

/// An answer that may be given once an entry is in the journal.
#[derive(Debug)]
pub struct WaitingReply {
    /// The entry.
    pub sequence: JournalSequence,
    /// Whether the caller's own call made the change that it waits for.
    pub fresh: bool,
    /// The answer.
    pub answer: PeerAnswer,
    /// Where it goes.
    pub reply: Sender<PeerAnswer>,
}
