//! Bad input on the ports of a daemon, each port a scene of its own.

mod callers_port;
mod datagrams;
mod frames;
mod operators_port;
mod peers_port;
mod slow_senders;
mod support;
mod wrong_tokens;
