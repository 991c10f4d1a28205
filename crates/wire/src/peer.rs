//! Messages between daemons.
//!
//! [`PeerDatagram`]s go to every member over UDP: a [`PeerHeartbeat`], and what
//! concerns the tokens of runners, in [`HandoverParts`] that fit a datagram. A
//! [`SlowdownReport`] of [`WorkerSlowdown`]s goes to the owner of a cell alone.
//! Over TCP a [`PeerRequest`] is answered by a [`PeerAnswer`]. Both travel as
//! the body of a [`PeerFrame`], which names the sender's incarnation and the
//! call that it belongs to; a [`FrameKey`] seals frames and opens them again,
//! and refuses whatever was not sealed with the same key with a [`FrameFault`].

mod frame_fault;
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

pub use frame_fault::FrameFault;
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
