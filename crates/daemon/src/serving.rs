//! The HTTP ports of a daemon, and the gate of a planned stop.
//!
//! An [`HttpPort`] serves an [`HttpService`] through a library, a thread a
//! connection. Each request passes the [`RequestGate`], which counts those in
//! flight and, once closed, lets no more in, so that a planned stop can wait for
//! the last answer. Services answer with an [`HttpReply`].

mod gate_pass;
mod http_port;
mod http_reply;
mod http_service;
mod request_gate;

pub use gate_pass::GatePass;
pub use http_port::HttpPort;
pub use http_reply::HttpReply;
pub use http_service::HttpService;
pub use request_gate::RequestGate;
