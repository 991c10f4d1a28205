//! Fake runners, the link, and the routing of requests.
//!
//! A [`ServiceWorld`] draws requests, routes each at one of the daemons with
//! the routing crate or a baseline, and measures its latency. Runners are
//! slowed by the tasks beside them. A [`LinkModel`] is the narrow link between
//! the regions, shared by requests and bulk.

mod daemon_view;
mod link_model;
mod link_transfer;
mod open_request;
mod service_world;

pub(crate) use link_model::LinkModel;
pub(crate) use service_world::ServiceWorld;
