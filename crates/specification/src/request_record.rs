//! Requests that run at most once.
//!
//! A caller tries one key through two entry daemons ([`EntryTry`]). Each asks
//! the owner of the key's cell ([`RecordOwner`]) for the record before its first
//! byte goes to the runner. Owners change, answers are lost, entry daemons die.
//! A [`RecordState`] is all of it, a [`RecordAction`] one step, a
//! [`RecordMutation`] a rule left out, and the whole a [`RecordModel`].

mod entry_try;
mod record_action;
mod record_model;
mod record_mutation;
mod record_owner;
mod record_state;
mod record_steps;
mod record_write;
mod runner_call;
mod try_phase;

pub use entry_try::EntryTry;
pub use record_action::RecordAction;
pub use record_model::RecordModel;
pub use record_mutation::RecordMutation;
pub use record_owner::RecordOwner;
pub use record_state::RecordState;
pub use record_write::RecordWrite;
pub use runner_call::RunnerCall;
pub use try_phase::TryPhase;
