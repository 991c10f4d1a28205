//! How large a fleet is.

const ZONES: usize = 3;
const STANDINS_PER_ZONE: usize = 16;
const CELLS_REAL: u16 = 3;
const CELLS_LISTED: u16 = 28;

/// How large a fleet is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// Stand-ins of workers, and of runners, in each zone.
    pub per_zone: usize,
    /// Workers on the list of VMs, when more than there are stand-ins: several
    /// then share the address of one.
    pub listed: Option<usize>,
    /// Tasks to run for each worker.
    pub tasks_per_worker: usize,
    /// Cells of the document.
    pub cells: u16,
}

impl FleetSize {
    /// Each worker has its own stand-in.
    pub const fn real(per_zone: usize, tasks_per_worker: usize) -> Self {
        Self {
            per_zone,
            listed: None,
            tasks_per_worker,
            cells: CELLS_REAL,
        }
    }

    /// `listed` workers share the addresses of 48 stand-ins.
    pub const fn listed(listed: usize) -> Self {
        Self {
            per_zone: STANDINS_PER_ZONE,
            listed: Some(listed),
            tasks_per_worker: 0,
            cells: CELLS_LISTED,
        }
    }

    /// Workers on the list of VMs.
    pub fn workers(self) -> usize {
        self.listed.unwrap_or(self.per_zone * ZONES)
    }

    /// Runners on the list of VMs.
    pub const fn runners(self) -> usize {
        if self.listed.is_some() {
            0
        } else {
            self.per_zone * ZONES
        }
    }

    /// Tasks of all jobs.
    pub fn tasks(self) -> usize {
        self.workers() * self.tasks_per_worker
    }
}
