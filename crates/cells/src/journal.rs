//! The journal of a cell.
//!
//! A [`JournalEntry`] carries its writer's [`sapphirestile_core::DaemonIdentity`] and a
//! nonce, so that a writer whose answer was lost can read the journal and tell whether
//! the entry is its own. Its [`EntryBody`] is a claim, a release or a batch of
//! [`CellTransition`]s.

mod array_spec;
mod cell_transition;
mod entry_body;
mod journal_entry;

pub use array_spec::ArraySpec;
pub use cell_transition::CellTransition;
pub use entry_body::EntryBody;
pub use journal_entry::JournalEntry;
