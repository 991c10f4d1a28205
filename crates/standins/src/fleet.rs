//! A whole platform of stand-ins.
//!
//! A [`StandinFleet`] runs a store, a list of VMs, and runners and workers in
//! zones, laid out by a [`FleetPlan`].

mod fleet_plan;
mod standin_fleet;

pub use fleet_plan::FleetPlan;
pub use standin_fleet::StandinFleet;
