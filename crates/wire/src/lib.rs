//! Messages between daemons and bodies of HTTP calls, with their codecs.
//!
//! [`api`], [`worker`] and [`vms`] hold the outward bodies, JSON over HTTP.
//! Messages between daemons are `postcard` frames with a keyed hash.

pub mod api;
pub mod peer;
pub mod vms;
pub mod worker;
