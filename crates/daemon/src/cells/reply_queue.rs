//! Answers that wait for the journal.

use sapphirestile_core::JournalSequence;
use sapphirestile_wire::peer::PeerAnswer;
use sapphirestile_wire::peer::PeerFault;

use crate::cells::WaitingReply;

/// Answers in the order of the entries that they rest on.
///
/// # Examples
///
/// ```
/// use crossbeam::channel::bounded;
/// use sapphirestile_core::JournalSequence;
/// use sapphirestile_daemon::cells::ReplyQueue;
/// use sapphirestile_daemon::cells::WaitingReply;
/// use sapphirestile_wire::peer::PeerAnswer;
///
/// let (reply, answers) = bounded(1);
/// let sequence = JournalSequence::new(7);
/// let mut queue = ReplyQueue::default();
/// queue.push(WaitingReply { sequence, fresh: true, answer: PeerAnswer::Pong, reply });
/// queue.give(JournalSequence::new(6));
/// assert!(answers.try_recv().is_err());
/// queue.give(JournalSequence::new(7));
/// assert_eq!(answers.try_recv(), Ok(PeerAnswer::Pong));
/// ```
#[derive(Debug, Default)]
pub struct ReplyQueue {
    replies: Vec<WaitingReply>,
}

impl ReplyQueue {
    /// Lets an answer wait.
    pub fn push(&mut self, reply: WaitingReply) {
        self.replies.push(reply);
    }

    /// Gives the answers that rest on entries up to `reached`.
    pub fn give(&mut self, reached: JournalSequence) {
        let (due, rest) = std::mem::take(&mut self.replies)
            .into_iter()
            .partition::<Vec<_>, _>(|waiting| waiting.sequence <= reached);
        self.replies = rest;
        for waiting in due {
            // The caller may have stopped waiting.
            let _given = waiting.reply.send(waiting.answer);
        }
    }

    /// Lets no answer wait for an entry after `last`: changes that were proposed
    /// since a beaten batch was taken are joined with what is left of it.
    pub fn join(&mut self, last: JournalSequence) {
        for waiting in &mut self.replies {
            waiting.sequence = waiting.sequence.min(last);
        }
    }

    /// Refuses all answers, since the cell has moved to another daemon.
    ///
    /// A change of the caller's own that was never handed out is not in the
    /// journal, nor will be. One in the entry `in_doubt` may be. And a caller that
    /// asked for what was there already may have asked for what is in the journal.
    pub fn refuse(&mut self, in_doubt: Option<JournalSequence>) {
        for waiting in self.replies.drain(..) {
            let fault = if waiting.fresh && in_doubt != Some(waiting.sequence) {
                PeerFault::NotRun("the cell has moved to another daemon".to_owned())
            } else {
                PeerFault::Unknown
            };
            let _given = waiting.reply.send(PeerAnswer::Fault(fault));
        }
    }
}
