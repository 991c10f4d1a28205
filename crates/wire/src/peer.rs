//! Messages between daemons.
//!
//! [`PeerDatagram`]s are sent over UDP. A [`PeerHeartbeat`] and the messages about
//! runner tokens go to every member; [`HandoverParts`] splits handover messages to
//! fit a datagram. A [`SlowdownReport`] of [`WorkerSlowdown`]s goes only to the owner
//! of the cell.
//!
//! Over TCP, each [`PeerRequest`] is answered by a [`PeerAnswer`].
//!
//! Both kinds are the body of a [`PeerFrame`], which identifies the sender's
//! incarnation and the call. A [`FrameKey`] seals frames with a keyed hash and
//! verifies it on opening; a frame that was not sealed with the same key is rejected
//! with a [`FrameError`].

mod frame_error;
mod frame_key;
mod handover_parts;
mod member_state;
mod peer_answer;
mod peer_datagram;
mod peer_fault;
mod peer_frame;
mod peer_heartbeat;
mod peer_request;
mod slowdown_report;
mod token_report;
mod worker_slowdown;

pub use frame_error::FrameError;
pub use frame_key::FRAME_LENGTH_MAX;
pub use frame_key::FrameKey;
pub use handover_parts::HandoverParts;
pub use member_state::MemberState;
pub use peer_answer::PeerAnswer;
pub use peer_datagram::PeerDatagram;
pub use peer_fault::PeerFault;
pub use peer_frame::PeerFrame;
pub use peer_heartbeat::PeerHeartbeat;
pub use peer_request::PeerRequest;
pub use slowdown_report::SlowdownReport;
pub use token_report::TokenReport;
pub use worker_slowdown::WorkerSlowdown;
