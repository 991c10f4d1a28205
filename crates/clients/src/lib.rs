//! Clients of the platform: store, VM list, workers and runners.
//!
//! [`http`] sends one call and says what is known of its effect; [`store`],
//! [`vms`], [`worker`] and [`runner`] give that knowledge the form that their
//! callers decide on. No client repeats a call by itself.

pub mod http;
pub mod runner;
pub mod store;
pub mod vms;
pub mod worker;
