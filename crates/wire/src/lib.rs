//! Message types and their encodings.
//!
//! [`api`], [`worker`], [`vms`] and [`store`] define the JSON bodies of HTTP calls.
//! [`peer`] defines the messages between daemons: `postcard` frames authenticated
//! by a keyed hash.

pub mod api;

pub mod peer;
pub mod store;
pub mod vms;
pub mod worker;
