//! The routing table of requests to runners.
//!
//! A [`RoutePublisher`] makes the routing table from the list of VMs and the document and
//! publishes it to the threads that serve callers.

mod route_publisher;

pub use route_publisher::RoutePublisher;
