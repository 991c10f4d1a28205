//! Commits in flight.

use crate::fake_commit::FakeCommit;

/// A commit that is repeated until its outcome is known.
pub struct CommitAttempt {
    pub commit: FakeCommit,
    /// Number of the latest attempt; answers to earlier ones count as well.
    pub attempts: u32,
}
