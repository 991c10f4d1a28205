//! Requests that run at most once, by a record of the request key.
//!
//! A caller sends a request with one key through two entry daemons; each of these is a
//! [`CallerAttempt`]. Before the first byte goes to the runner, the entry daemon obtains
//! the record of the key from the owner of the key's cell ([`RecordOwner`]). The record
//! belongs to one attempt, and the other is refused. Ownership of the cell changes,
//! answers are lost, and entry daemons die.
//!
//! [`RecordModel`] is the model, [`RecordState`] its state and [`RecordAction`] a step. A
//! [`RecordMutation`] is a rule that the model can leave out.

mod attempt_phase;
mod call_state;
mod caller_attempt;
mod record_action;
mod record_model;
mod record_mutation;
mod record_owner;
mod record_state;
mod record_steps;
mod record_write;

pub use attempt_phase::AttemptPhase;
pub use call_state::CallState;
pub use caller_attempt::CallerAttempt;
pub use record_action::RecordAction;
pub use record_model::RecordModel;
pub use record_mutation::RecordMutation;
pub use record_owner::RecordOwner;
pub use record_state::RecordState;
pub use record_write::RecordWrite;
