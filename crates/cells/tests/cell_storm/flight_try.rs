//! A commit whose outcome is not certain yet.

use crate::fake_commit::FakeCommit;

/// A commit that is tried until its outcome is certain.
pub struct FlightTry {
    pub commit: FakeCommit,
    /// The latest try; answers to earlier ones count as well.
    pub tries: u32,
}
