//! The store of a run.
//!
//! A [`FakeStore`] takes [`CommitTry`]s by the guards of the daemon's journal
//! and answers with a [`StoreAnswer`]; the rows of each cell are [`CellRows`].

mod cell_rows;
mod commit_try;
mod fake_store;
mod store_answer;

pub use cell_rows::CellRows;
pub use commit_try::CommitTry;
pub use fake_store::FakeStore;
pub use store_answer::StoreAnswer;
