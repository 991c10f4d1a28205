//! The daemons: registration and heartbeats.
//!
//! At its start a daemon writes a [`MemberRecord`]; the revision of that write is
//! its incarnation. The shared watch keeps the [`MemberTable`] of
//! [`MemberRow`]s; a [`HeartbeatSender`] tells every member how the daemon is, and
//! a [`DatagramReceiver`] takes note of what the others say. [`SharedWatch`]
//! follows the store's shared rows: the document and the registrations.

mod datagram_receiver;
mod heartbeat_sender;
mod member_record;
mod member_registration;
mod member_row;
mod member_table;
mod shared_watch;

pub use datagram_receiver::DatagramReceiver;
pub use heartbeat_sender::HeartbeatSender;
pub use member_record::MemberRecord;
pub use member_registration::MemberRegistration;
pub use member_row::MemberRow;
pub use member_table::MemberTable;
pub use shared_watch::SharedWatch;
pub use shared_watch::WATCH_WAIT_MS;
