//! The HTTP ports of a daemon, and the gate of a planned stop.
//!
//! An [`HttpPort`] serves an [`HttpService`] through a library, a thread a
//! connection, within its [`PortLimits`]; a [`ConnectionPeer`] says who calls.
//! Each request passes the [`RequestGate`], which counts those in flight and,
//! once closed, lets no more in, so that a planned stop can wait for the last
//! answer. Services answer with an [`HttpReply`]. A body is read through a
//! [`PacedReader`] at a [`TransferPace`], so that none that is sent slowly
//! holds its connection for long; a [`BodyFault`] says why one was not taken.
//!
//! What ports and the operations behind them share is here too: a [`MonoClock`],
//! and a [`SwapHolder`] for tables that requests read.

mod body_fault;
mod connection_peer;
mod gate_pass;
mod http_port;
mod http_reply;
mod http_service;
mod mono_clock;
mod paced_reader;
mod port_limits;
mod read_body;
mod request_gate;
mod swap_holder;
mod transfer_pace;

pub use body_fault::BodyFault;
pub use connection_peer::ConnectionPeer;
pub use gate_pass::GatePass;
pub use http_port::HttpPort;
pub use http_reply::HttpReply;
pub use http_service::HttpService;
pub use mono_clock::MonoClock;
pub use paced_reader::PacedReader;
pub use port_limits::PortLimits;
pub use read_body::read_body;
pub use request_gate::RequestGate;
pub use swap_holder::SwapHolder;
pub use transfer_pace::TransferPace;
