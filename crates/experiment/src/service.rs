//! Simulated requests, daemons, runners and the link between the regions.
//!
//! A [`SimulatedService`] generates requests, routes each in a random daemon with
//! the routing crate or a baseline, and records its latency. Runners are slowed
//! down by the tasks beside them. A [`LinkModel`] is the narrow link between the
//! regions, which requests share with inputs and checkpoints of tasks.

mod in_flight_request;
mod link_model;
mod link_transfer;
mod simulated_daemon;
mod simulated_service;

pub(crate) use link_model::LinkModel;
pub(crate) use simulated_service::SimulatedService;
