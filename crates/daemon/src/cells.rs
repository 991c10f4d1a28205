//! The cells that this daemon owns.
//!
//! A [`CellDirector`] looks several times a second for cells that nobody owns
//! and that are this daemon's to claim. Claiming loads the cell as a
//! [`LoadedCell`] from its [`CellJournal`], commits the claim and starts a
//! [`CellKeeper`], a thread with an open [`sapphirestile_cells::CellOwner`].
//! The keeper takes [`KeeperEvent`]s: calls of operators and peers, answers of
//! workers from the [`WorkerPool`] with its [`CallPool`] of threads, as many as
//! [`PoolSizes`] says for each [`WorkerReach`], answers of lenders of quotas
//! from the [`SharePool`], which takes [`ShareCall`]s (both among its
//! [`KeeperPools`]), and outcomes of commits from its [`JournalWriter`]. The
//! [`KeeperDirectory`] lists the keepers; a [`CellDesk`] brings a call to the
//! keeper of its cell, here or at a peer.

mod call_pool;
mod cell_desk;
mod cell_director;
mod cell_journal;
mod cell_keeper;
mod entry_tally;
mod head_record;
mod job_render;
mod journal_batch;
mod journal_outcome;
mod journal_writer;
mod keeper_call;
mod keeper_directory;
mod keeper_dump;
mod keeper_event;
mod keeper_handle;
mod keeper_pools;
mod loaded_cell;
mod pool_sizes;
mod reply_queue;
mod share_call;
mod share_pool;
mod throttle_dump;
mod waiting_reply;
mod worker_call;
mod worker_pool;
mod worker_reach;

pub use call_pool::CallPool;
pub use cell_desk::CellDesk;
pub use cell_director::CellDirector;
pub use cell_journal::CellJournal;
pub use cell_keeper::CellKeeper;
pub use entry_tally::EntryTally;
pub use head_record::HeadRecord;
pub use journal_batch::JournalBatch;
pub use journal_outcome::JournalOutcome;
pub use journal_writer::JournalWriter;
pub use keeper_call::KeeperCall;
pub use keeper_directory::KeeperDirectory;
pub use keeper_dump::KeeperDump;
pub use keeper_event::KeeperEvent;
pub use keeper_handle::KeeperHandle;
pub use keeper_pools::KeeperPools;
pub use loaded_cell::LoadedCell;
pub use pool_sizes::PoolSizes;
pub use reply_queue::ReplyQueue;
pub use share_call::ShareCall;
pub use share_pool::SharePool;
pub use throttle_dump::ThrottleDump;
pub use waiting_reply::WaitingReply;
pub use worker_call::WorkerCall;
pub use worker_pool::WorkerPool;
pub use worker_reach::WorkerReach;
