//! The simulated store.
//!
//! A [`FakeStore`] applies [`JournalCommit`]s under the same conditions as the daemon's
//! journal and returns a [`CommitResponse`]. The rows of each cell are [`CellRows`].

mod cell_rows;
mod commit_response;
mod fake_store;
mod journal_commit;

pub use cell_rows::CellRows;
pub use commit_response::CommitResponse;
pub use fake_store::FakeStore;
pub use journal_commit::JournalCommit;
