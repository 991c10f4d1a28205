//! The simulated daemons.
//!
//! A [`SoakDaemon`] is one process of a daemon, identified by its [`DaemonInstance`]. It
//! holds a [`CellOwnership`] for each cell that it claims, owns or releases. An [`OwnedCell`]
//! holds a production cell owner, driven as the daemon's cell actor drives it. A
//! [`PendingReply`] is sent once the journal entry that it depends on is committed.

mod cell_ownership;
mod daemon_instance;
mod owned_cell;
mod ownership_phase;
mod pending_reply;
mod soak_daemon;

pub use cell_ownership::CellOwnership;
pub use daemon_instance::DaemonInstance;
pub use owned_cell::OwnedCell;
pub use ownership_phase::OwnershipPhase;
pub use pending_reply::PendingReply;
pub use soak_daemon::SoakDaemon;
