//! Clients of the platform: store, VM list, workers and runners.

pub mod store;
