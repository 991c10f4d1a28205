//! Messages between daemons and bodies of HTTP calls, with their codecs.
//!
//! [`worker`], [`vms`] and [`store`] hold the outward bodies, JSON over HTTP. Messages
//! between daemons are `postcard` frames with a keyed hash.

pub mod store;
pub mod vms;
pub mod worker;
