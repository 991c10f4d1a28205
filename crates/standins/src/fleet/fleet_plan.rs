//! The layout of a simulated platform.

use crate::runner::RunnerSettings;
use crate::worker::WorkerSettings;
use sapphirestile_core::ResourceSize;

/// The layout of a simulated platform, and the contents of its configuration document.
/// By default: three zones in two regions, each with one runner and one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetPlan {
    /// The name of each zone with the name of its region; zones of one region have to
    /// be adjacent, because the document names each run of equal regions once.
    pub zones: Vec<(&'static str, &'static str)>,
    /// The number of runners in each zone.
    pub runners: usize,
    /// The number of workers in each zone.
    pub workers: usize,
    /// The settings of every runner. Their slots are also those of the service in the
    /// document.
    pub runner: RunnerSettings,
    /// The settings of every worker.
    pub worker: WorkerSettings,
    /// Whether the list of VMs names the worker of the same index as the one on a runner's
    /// machine. Their stand-ins share a machine in any case.
    pub colocated: bool,
    /// Whether the document declares requests of the service as idempotent, so that they may
    /// be run again.
    pub idempotent: bool,
    /// The number of cells in the document.
    pub cells: u16,
    /// The quota of the customer in the document.
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
