//! Size of a measured fleet.

/// Zones of the default plan of a stand-in fleet.
const ZONES: usize = 3;
const STANDINS_PER_ZONE: usize = 16;
const CELLS_DEDICATED: u16 = 3;
const CELLS_SHARED: u16 = 28;

/// Numbers of workers, runners, tasks and cells of a measured fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// Stand-ins of workers in each zone; there are as many stand-ins of runners.
    pub standins_per_zone: usize,
    /// Number of workers on the list of VMs when they share the addresses of the
    /// stand-ins; `None` when every worker has a stand-in of its own.
    pub listed_workers: Option<usize>,
    /// Submitted tasks per worker; 0 measures the fleet at rest only.
    pub tasks_per_worker: usize,
    /// Number of cells that the document sets.
    pub cells: u16,
}

impl FleetSize {
    /// A fleet in which each worker has a stand-in of its own.
    pub const fn dedicated(standins_per_zone: usize, tasks_per_worker: usize) -> Self {
        Self {
            standins_per_zone,
            listed_workers: None,
            tasks_per_worker,
            cells: CELLS_DEDICATED,
        }
    }

    /// A fleet without tasks in which `listed_workers` workers share the addresses of 48
    /// stand-ins.
    pub const fn shared(listed_workers: usize) -> Self {
        Self {
            standins_per_zone: STANDINS_PER_ZONE,
            listed_workers: Some(listed_workers),
            tasks_per_worker: 0,
            cells: CELLS_SHARED,
        }
    }

    /// Number of workers on the list of VMs.
    pub fn workers(self) -> usize {
        self.listed_workers
            .unwrap_or(self.standins_per_zone * ZONES)
    }

    /// Number of runners on the list of VMs; 0 when the workers share stand-ins.
    pub const fn runners(self) -> usize {
        if self.listed_workers.is_some() {
            0
        } else {
            self.standins_per_zone * ZONES
        }
    }

    /// Number of tasks of all jobs together.
    pub fn tasks(self) -> usize {
        self.workers() * self.tasks_per_worker
    }
}
