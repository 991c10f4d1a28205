//! HTTP ports of a daemon, and the request gate of a planned stop.
//!
//! An [`HttpPort`] serves an [`HttpService`] with one thread per connection, within its
//! [`PortLimits`]; a [`ConnectionPeer`] is the address of the peer. Each request passes
//! the [`RequestGate`], which counts the requests in flight with a [`RequestGuard`]
//! each, also those that it refuses once it is closed. A [`PlannedStop`] goes from
//! [`SendingAway`] callers to [`Refusing`] them, waits for the last answer and ends with a
//! [`StopReport`]. Services answer with an [`HttpReply`]. A body is read through a
//! [`RateCheckedReader`] that enforces a [`MinTransferRate`], so that a slow sender
//! cannot occupy its connection for long; a [`BodyError`] says why a body could not be
//! read.
//!
//! A panic of the HTTP library ends one connection, a panic of a handler the process: a
//! [`CodeScope`] marks whose code a thread runs, a [`LibraryBody`] is the boundary around
//! the library while a handler reads a body, and [`ConnectionPanics`] counts.
//!
//! A [`MonoClock`] and an [`RcuValue`] for tables that request threads read are shared
//! by the ports and the code behind them. A [`PauseWatch`] says when a request may have
//! arrived that is read after the process was suspended.

mod body_error;
mod code_scope;
mod connection_panics;
mod connection_peer;
mod http_port;
mod http_reply;
mod http_service;
mod library_body;
mod min_transfer_rate;
mod mono_clock;
mod pause_watch;
mod planned_stop;
mod port_limits;
mod rate_checked_reader;
mod rcu_value;
mod read_body;
mod refusing;
mod request_gate;
mod request_guard;
mod scope_guard;
mod sending_away;
mod stop_report;

pub use body_error::BodyError;
pub use code_scope::CodeScope;
pub use connection_panics::ConnectionPanics;
pub use connection_peer::ConnectionPeer;
pub use http_port::HttpPort;
pub use http_reply::HttpReply;
pub use http_service::HttpService;
pub use library_body::LibraryBody;
pub use min_transfer_rate::MinTransferRate;
pub use mono_clock::MonoClock;
pub use pause_watch::PauseWatch;
pub use planned_stop::PlannedStop;
pub use port_limits::PortLimits;
pub use rate_checked_reader::RateCheckedReader;
pub use rcu_value::RcuValue;
pub use read_body::read_body;
pub use refusing::Refusing;
pub use request_gate::RequestGate;
pub use request_guard::RequestGuard;
pub use sending_away::SendingAway;
pub use stop_report::StopReport;
