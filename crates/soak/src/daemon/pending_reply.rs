//! A reply that waits for a commit.

use sapphirestile_core::JobName;
use sapphirestile_core::JournalSequence;
use sapphirestile_core::RequestKey;

/// A reply to a caller, sent once the journal entry that it depends on is committed.
#[derive(Clone, Debug)]
pub enum PendingReply {
    /// Tells the caller that its job is in the journal.
    Job {
        /// Name of the submitted job.
        job: JobName,
        /// Index of the submission in the outcomes of [`JobSubmissions`](crate::JobSubmissions).
        index: usize,
        /// Sequence of the entry that has to be committed first.
        sequence: JournalSequence,
    },
    /// Tells the caller that its request key is recorded, and was not recorded before.
    Key {
        /// The recorded key.
        key: RequestKey,
        /// Random number that identifies the record; needed to withdraw it.
        nonce: u64,
        /// Sequence of the entry that has to be committed first.
        sequence: JournalSequence,
    },
}

impl PendingReply {
    /// Sequence of the entry that has to be committed first.
    #[must_use]
    pub const fn sequence(&self) -> JournalSequence {
        match self {
            Self::Job { sequence, .. } | Self::Key { sequence, .. } => *sequence,
        }
    }

    /// Lowers the sequence to `last` if it is higher. After a conflict the changes of the
    /// rejected entry and those proposed since go into one entry, so a reply would
    /// otherwise wait for a sequence that no entry may ever have.
    pub fn limit_sequence(&mut self, last: JournalSequence) {
        match self {
            Self::Job { sequence, .. } | Self::Key { sequence, .. } => {
                *sequence = last.min(*sequence);
            }
        }
    }
}
