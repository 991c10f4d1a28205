//! Clients of the platform: store, VM list, workers and runners.
//!
//! [`http`] sends a single call and classifies failures by whether the call may have
//! taken effect. [`store`], [`vms`], [`worker`] and [`runner`] map that result to the
//! errors and outcomes of their own calls. No client retries on its own.

pub mod http;
pub mod runner;
pub mod store;
pub mod vms;
pub mod worker;
