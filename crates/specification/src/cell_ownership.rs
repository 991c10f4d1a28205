//! Owners of a cell, its journal and its workers.
//!
//! An [`OwnershipState`] holds the journal of one cell as the store has it
//! ([`JournalState`]), commits under way ([`JournalWrite`]), daemons
//! ([`DaemonState`]), workers ([`WorkerState`]) and messages between them
//! ([`WorkerMessage`]). A daemon claims the cell, opens sessions, commits where
//! the task goes and only then starts it. Each [`OwnershipAction`] is one step;
//! a paused process is one that takes none. [`OwnershipBounds`] limit the
//! search, and an [`OwnershipMutation`] leaves a rule out. The whole is an
//! [`OwnershipModel`].
//!
//! A store outage is a stretch of steps in which no commit lands; a cut between
//! a daemon and a worker is one in which every message between them is lost.

mod daemon_state;
mod daemon_steps;
mod fault_budget;
mod journal_entry;
mod journal_state;
mod journal_write;
mod number_ranking;
mod ownership_action;
mod ownership_bounds;
mod ownership_model;
mod ownership_mutation;
mod ownership_scenario;
mod ownership_state;
mod process_id;
mod record_phase;
mod store_steps;
mod task_record;
mod task_slot;
mod worker_message;
mod worker_state;
mod worker_steps;

pub use daemon_state::DaemonState;
pub use fault_budget::FaultBudget;
pub use journal_entry::JournalEntry;
pub use journal_state::JournalState;
pub use journal_write::JournalWrite;
pub use ownership_action::OwnershipAction;
pub use ownership_bounds::OwnershipBounds;
pub use ownership_model::OwnershipModel;
pub use ownership_mutation::OwnershipMutation;
pub use ownership_scenario::OwnershipScenario;
pub use ownership_state::OwnershipState;
pub use process_id::ProcessId;
pub use record_phase::RecordPhase;
pub use task_record::TaskRecord;
pub use task_slot::TaskSlot;
pub use worker_message::WorkerMessage;
pub use worker_state::WorkerState;
