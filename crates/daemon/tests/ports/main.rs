//! Invalid, hostile and slow input on each port of a daemon: the daemon must refuse it and
//! keep serving others.

mod callers_port;
mod datagrams;
mod deployed_process;
mod frames;
mod mutated_messages;
mod odd_requests;
mod operators_port;
mod peers_port;
mod request_forms;
mod request_mutator;
mod slow_senders;
mod support;
mod wrong_tokens;
