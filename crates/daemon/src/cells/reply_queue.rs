//! Replies that wait for a commit.

use sapphirestile_core::JournalSequence;
use sapphirestile_wire::peer::PeerAnswer;
use sapphirestile_wire::peer::PeerFault;

use crate::cells::PendingReply;

/// Replies that are sent once the journal entry that they depend on is committed.
///
/// # Examples
///
/// ```
/// use crossbeam::channel::bounded;
/// use sapphirestile_core::JournalSequence;
/// use sapphirestile_daemon::cells::PendingReply;
/// use sapphirestile_daemon::cells::ReplyQueue;
/// use sapphirestile_wire::peer::PeerAnswer;
///
/// let (reply, answers) = bounded(1);
/// let sequence = JournalSequence::new(7);
/// let mut queue = ReplyQueue::default();
/// queue.push(PendingReply { sequence, own_change: true, answer: PeerAnswer::Pong, reply });
/// queue.send_committed(JournalSequence::new(6));
/// assert!(answers.try_recv().is_err());
/// queue.send_committed(JournalSequence::new(7));
/// assert_eq!(answers.try_recv(), Ok(PeerAnswer::Pong));
/// ```
#[derive(Debug, Default)]
pub struct ReplyQueue {
    replies: Vec<PendingReply>,
}

impl ReplyQueue {
    /// Adds a reply, which is sent by [`Self::send_committed`] or [`Self::fail_all`].
    pub fn push(&mut self, reply: PendingReply) {
        self.replies.push(reply);
    }

    /// Sends the replies that depend on entries up to and including `committed`.
    pub fn send_committed(&mut self, committed: JournalSequence) {
        let (due, rest) = std::mem::take(&mut self.replies)
            .into_iter()
            .partition::<Vec<_>, _>(|pending| pending.sequence <= committed);
        self.replies = rest;
        for pending in due {
            // The caller may have stopped waiting.
            let _sent = pending.reply.send(pending.answer);
        }
    }

    /// Lowers the sequence number that replies wait for to at most `last`.
    ///
    /// When a commit is rejected because the configuration changed, the next entry takes its
    /// sequence number. It contains what is left of the rejected entry, and the changes
    /// proposed since that was sent.
    pub fn limit_sequence(&mut self, last: JournalSequence) {
        for pending in &mut self.replies {
            pending.sequence = pending.sequence.min(last);
        }
    }

    /// Replies to all callers with a fault, because the cell has moved to another daemon.
    ///
    /// The fault is [`PeerFault::NotRun`] when the caller's own change was never sent to
    /// the store. It is [`PeerFault::Unknown`] when the change is part of the entry
    /// `in_doubt`, whose outcome is unknown, and when the caller's request repeated an
    /// earlier change, which may be in the journal.
    pub fn fail_all(&mut self, in_doubt: Option<JournalSequence>) {
        for pending in self.replies.drain(..) {
            let fault = if pending.own_change && in_doubt != Some(pending.sequence) {
                PeerFault::NotRun("the cell has moved to another daemon".to_owned())
            } else {
                PeerFault::Unknown
            };
            let _sent = pending.reply.send(PeerAnswer::Fault(fault));
        }
    }
}
