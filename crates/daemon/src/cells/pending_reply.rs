//! A reply that waits for a commit.

use crossbeam::channel::Sender;
use sapphirestile_core::JournalSequence;
use sapphirestile_wire::peer::PeerAnswer;

/// A reply that may be sent once an entry is in the journal, see
/// [`crate::cells::ReplyQueue`].
#[derive(Debug)]
pub struct PendingReply {
    /// The sequence number of the entry that the reply waits for.
    pub sequence: JournalSequence,
    /// Whether the caller's own call made a change. It is `false` when the call only
    /// repeated or read changes that are not committed yet.
    pub own_change: bool,
    /// The answer to send.
    pub answer: PeerAnswer,
    /// The channel that the caller waits on.
    pub reply: Sender<PeerAnswer>,
}
