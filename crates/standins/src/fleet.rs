//! A simulated platform in one process.
//!
//! A [`StandinFleet`] runs a store, a list of VMs, and the runners and workers of each
//! zone. A [`FleetPlan`] gives their numbers and settings.

mod fleet_plan;
mod standin_fleet;

pub use fleet_plan::FleetPlan;
pub use standin_fleet::StandinFleet;
