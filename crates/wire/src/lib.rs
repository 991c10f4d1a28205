//! Messages between daemons and bodies of HTTP calls, with their codecs.
//!
//! [`api`], [`worker`], [`vms`] and [`store`] hold the outward bodies, JSON over
//! HTTP. Messages between daemons, [`peer`], are `postcard` frames with a keyed
//! hash.

pub mod api;

pub mod peer;
pub mod store;
pub mod vms;
pub mod worker;
