//! The cells that this daemon owns.
//!
//! A [`CellController`] checks several times a second which cells have no owner
//! and prefer this daemon. To claim one, it loads the cell as a [`LoadedCell`] from
//! its [`CellJournal`], commits the claim and starts a [`CellActor`]: a thread that
//! runs the cell's [`sapphirestile_cells::CellOwner`] and handles [`CellEvent`]s.
//!
//! The events are calls of operators and peers, workers' responses, lenders'
//! answers about shares of quotas, and outcomes of commits. The actor itself does no
//! I/O. It uses [`CellPools`]: the [`WorkerPool`], a [`CallPool`] of threads with
//! [`PoolSizes`] by [`WorkerReach`], and the [`SharePool`], which takes
//! [`ShareCall`]s. Its [`JournalWriter`] commits one [`JournalCommit`] at a time and
//! reports the [`JournalOutcome`]. Replies that depend on a commit wait in a
//! [`ReplyQueue`].
//!
//! The [`CellDirectory`] has a [`CellHandle`] for each actor of this daemon. A
//! [`CellRouter`] sends a call to the actor of a cell, in this daemon or at a peer.

mod call_pool;
mod cell_actor;
mod cell_call;
mod cell_controller;
mod cell_directory;
mod cell_dump;
mod cell_event;
mod cell_handle;
mod cell_journal;
mod cell_pools;
mod cell_router;
mod entry_counts;
mod head_record;
mod job_render;
mod journal_commit;
mod journal_outcome;
mod journal_writer;
mod loaded_cell;
mod pending_reply;
mod pool_sizes;
mod reply_queue;
mod share_call;
mod share_pool;
mod throttle_dump;
mod worker_call;
mod worker_pool;
mod worker_reach;

pub use call_pool::CallPool;
pub use cell_actor::CellActor;
pub use cell_call::CellCall;
pub use cell_controller::CellController;
pub use cell_directory::CellDirectory;
pub use cell_dump::CellDump;
pub use cell_event::CellEvent;
pub use cell_handle::CellHandle;
pub use cell_journal::CellJournal;
pub use cell_pools::CellPools;
pub use cell_router::CellRouter;
pub use entry_counts::EntryCounts;
pub use head_record::HeadRecord;
pub use journal_commit::JournalCommit;
pub use journal_outcome::JournalOutcome;
pub use journal_writer::JournalWriter;
pub use loaded_cell::LoadedCell;
pub use pending_reply::PendingReply;
pub use pool_sizes::PoolSizes;
pub use reply_queue::ReplyQueue;
pub use share_call::ShareCall;
pub use share_pool::SharePool;
pub use throttle_dump::ThrottleDump;
pub use worker_call::WorkerCall;
pub use worker_pool::WorkerPool;
pub use worker_reach::WorkerReach;
