//! An answer that waits for a commit.

use sapphirestile_core::JobName;
use sapphirestile_core::JournalSequence;
use sapphirestile_core::RequestKey;

/// What a caller waits to hear.
#[derive(Clone, Debug)]
pub enum SubmitReply {
    /// That its job is in the journal.
    Job {
        /// The job.
        job: JobName,
        /// Which try of the caller it is.
        place: usize,
        /// The entry that the answer waits for.
        sequence: JournalSequence,
    },
    /// That its key is recorded, and was not before.
    Key {
        /// The key.
        key: RequestKey,
        /// Names the record.
        nonce: u64,
        /// The entry that the answer waits for.
        sequence: JournalSequence,
    },
}

impl SubmitReply {
    /// The entry that the answer waits for.
    #[must_use]
    pub const fn sequence(&self) -> JournalSequence {
        match self {
            Self::Job { sequence, .. } | Self::Key { sequence, .. } => *sequence,
        }
    }

    /// Waits for no later entry than `last`: a beaten batch is joined with the
    /// changes proposed since.
    pub fn wait_at_most(&mut self, last: JournalSequence) {
        match self {
            Self::Job { sequence, .. } | Self::Key { sequence, .. } => {
                *sequence = last.min(*sequence);
            }
        }
    }
}
