//! Configuration by the operators.
//!
//! A [`DeployedConfig`] holds a [`QueuePolicy`] for each queue, a [`ServicePolicy`] for
//! each service and the [`CallerLimits`]. Routing a request to its queue gives a
//! [`RouteMatch`]. Changes arrive as [`OperatorEvent`]s.

mod caller_limits;
mod deployed_config;
mod operator_event;
mod queue_policy;
mod route_match;
mod service_policy;

pub use caller_limits::CallerLimits;
pub use deployed_config::DeployedConfig;
pub use operator_event::OperatorEvent;
pub use queue_policy::QueuePolicy;
pub use route_match::RouteMatch;
pub use service_policy::ServicePolicy;
