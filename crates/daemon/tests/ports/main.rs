//! Invalid, hostile and slow input on each port of a daemon: the daemon must refuse it and
//! keep serving others.

mod callers_port;
mod datagrams;
mod frames;
mod operators_port;
mod peers_port;
mod slow_senders;
mod support;
mod wrong_tokens;
