//! Durable state of a cell.
//!
//! [`CellState`] is the fold of the journal. Its tasks are [`TaskCycle`]s in one
//! of the phases [`WaitingPhase`], [`AssignedPhase`] and [`EndedPhase`], stored
//! as [`TaskEntry`]s. A transition that cannot be applied gives a [`TransitionError`]
//! and leaves the state unchanged.

mod array_progress;
mod cell_state;
mod request_record;
mod task_cycle;
mod task_entry;
mod task_outcome;
mod transition_error;

pub use array_progress::ArrayProgress;
pub use cell_state::CellState;
pub use cell_state::TASKS_MAX;
pub use request_record::RequestRecord;
pub use task_cycle::AssignedPhase;
pub use task_cycle::EndedPhase;
pub use task_cycle::TaskCycle;
pub use task_cycle::WaitingPhase;
pub use task_entry::TaskEntry;
pub use task_outcome::TaskOutcome;
pub use transition_error::TransitionError;
