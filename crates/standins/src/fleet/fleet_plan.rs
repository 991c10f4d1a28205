//! What a fleet of stand-ins consists of.

use crate::runner::RunnerSettings;
use crate::worker::WorkerSettings;
use sapphirestile_core::ResourceSize;

/// What a fleet of stand-ins consists of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetPlan {
    /// The zones, each with the region that it lies in.
    pub zones: Vec<(&'static str, &'static str)>,
    /// How many runners each zone has.
    pub runners: usize,
    /// How many workers each zone has.
    pub workers: usize,
    /// How each runner is built.
    pub runner: RunnerSettings,
    /// How each worker is built.
    pub worker: WorkerSettings,
    /// Whether each runner shares its machine with the worker of the same number.
    pub colocated: bool,
    /// Whether requests of the service may run twice.
    pub idempotent: bool,
    /// How many cells the document has.
    pub cells: u16,
    /// The quota of the customer.
    pub quota: ResourceSize,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            zones: vec![("near-a", "near"), ("near-b", "near"), ("far-c", "far")],
            runners: 1,
            workers: 1,
            runner: RunnerSettings::default(),
            worker: WorkerSettings::default(),
            colocated: false,
            idempotent: true,
            cells: 1,
            quota: ResourceSize {
                cpu_milli: 4_000_000,
                memory_mb: 16_000_000,
                accelerators: 0,
            },
        }
    }
}
