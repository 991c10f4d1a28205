//! Tests of the clients against stand-ins and scripted peers.

mod connection_reuse;
mod decoder_properties;
mod downloads;
mod http_calls;
mod large_messages;
mod peer_script;
mod runner_calls;
mod scripted_peer;
mod silent_connections;
mod slow_transfers;
mod store_calls;
mod vm_list_caching;
mod vm_list_reads;
mod worker_calls;
