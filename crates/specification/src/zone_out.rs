//! Operators take an availability zone out of service while an owner starts a task there.
//!
//! The protocol guarantees that no task starts in the zone later than the maximum age of
//! a permit after the zone was taken out. The worker grants a permit, the owner commits
//! the placement, and then sends the start request with the permit. The commit compares
//! the revision of the configuration, and the worker checks the age of the permit.
//!
//! A [`ZoneOutState`] holds the newest revision of the configuration, one worker of the
//! zone with its latest permit, and an owner that may pause before any
//! [`ZoneOutAction`]. [`ZoneOutModel`] is the model, and a [`ZoneOutMutation`] is a rule
//! that it can leave out.

mod batch_commit;
mod held_permit;
mod zone_out_action;
mod zone_out_model;
mod zone_out_mutation;
mod zone_out_state;

pub use batch_commit::BatchCommit;
pub use held_permit::HeldPermit;
pub use zone_out_action::ZoneOutAction;
pub use zone_out_model::ZoneOutModel;
pub use zone_out_mutation::ZoneOutMutation;
pub use zone_out_state::ZoneOutState;
