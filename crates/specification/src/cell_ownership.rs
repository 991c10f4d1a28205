//! Daemons that own a cell, the cell's journal and its workers.
//!
//! A daemon claims the cell, opens sessions with the workers, commits to the journal
//! which worker gets the task, and only then sends the start message. An
//! [`OwnershipState`] holds the journal as the store has it ([`JournalState`]), the
//! commits in flight ([`JournalWrite`]), the daemons ([`DaemonState`]), the workers
//! ([`WorkerState`]) and the messages between them ([`WorkerMessage`]). Each
//! [`OwnershipAction`] is one step.
//!
//! Some faults have no action of their own: a paused process takes no steps, during a
//! store outage no commit is processed, and during a network partition every message
//! between a daemon and a worker is lost.
//!
//! [`OwnershipModel`] is the model and [`OwnershipBounds`] are its bounds, which an
//! [`OwnershipScenario`] names. An [`OwnershipMutation`] is a rule that the model can
//! leave out.

mod action_budget;
mod daemon_state;
mod daemon_steps;
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
mod store_steps;
mod task_phase;
mod task_record;
mod worker_message;
mod worker_state;
mod worker_steps;
mod worker_task;

pub use action_budget::ActionBudget;
pub use daemon_state::DaemonState;
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
pub use task_phase::TaskPhase;
pub use task_record::TaskRecord;
pub use worker_message::WorkerMessage;
pub use worker_state::WorkerState;
pub use worker_task::WorkerTask;
