//! Membership of the daemons: registrations in the store, and heartbeats.
//!
//! At its start a daemon writes a [`MemberRecord`] to the store with a
//! [`MemberRegistration`]; the revision of that write is the daemon's incarnation. A
//! [`SharedWatch`] follows the rows of the store that all daemons share: the document, the
//! token ledger and the registrations. It maintains the [`MemberTable`] of
//! [`MemberRow`]s. A [`HeartbeatSender`] sends the state of this daemon to all members. A
//! [`DatagramReceiver`] receives the heartbeats and other datagrams of the peers.

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
