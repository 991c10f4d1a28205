//! An availability zone is taken out while an owner starts tasks in it.
//!
//! A [`ZoneOutState`] holds the newest revision of the configuration, one worker
//! of the zone with its latest permit, and an owner that may pause before any
//! [`ZoneOutAction`]. The order is permit, then commit, then start, and the
//! commit compares the revision. A [`ZoneOutMutation`] leaves a rule out. The
//! whole is a [`ZoneOutModel`].

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
