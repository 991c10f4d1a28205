//! A simulated daemon process.

use crate::CellOwnership;
use crate::DaemonInstance;
use crate::OwnedCell;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::DaemonName;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;
use sapphirestile_core::ZoneName;

/// One process of a daemon, with its cells and its view of the document and the VM list.
#[derive(Debug)]
pub struct SoakDaemon {
    /// Identity of the process.
    pub instance: DaemonInstance,
    /// False once the process was killed; its events are dropped from then on.
    pub alive: bool,
    /// End of the current pause of the process, in milliseconds of virtual time. Its events
    /// are postponed until then.
    pub frozen_until_ms: u64,
    /// The cells that it claims, owns or releases.
    pub cells: SortedTable<CellNumber, CellOwnership>,
    /// Revision of the document that it read last.
    pub document_revision: u64,
    /// Zones that are out of service according to that document.
    pub zones_out: Vec<ZoneName>,
    /// When it read the VM list, and the moment whose VMs that list shows, both in
    /// milliseconds of virtual time. `None` before the first read.
    pub vm_list: Option<(u64, u64)>,
    /// Lead of its monotonic clock over the virtual time, in milliseconds.
    clock_offset_ms: u64,
}

impl SoakDaemon {
    /// Creates a process that owns no cell and has read neither document nor VM list.
    #[must_use]
    pub const fn new(instance: DaemonInstance, clock_offset_ms: u64) -> Self {
        Self {
            instance,
            alive: true,
            frozen_until_ms: 0,
            cells: SortedTable::new(),
            document_revision: 0,
            zones_out: Vec::new(),
            vm_list: None,
            clock_offset_ms,
        }
    }

    /// Name and incarnation as they are written to the journal.
    ///
    /// # Panics
    ///
    /// Never: `entry-` followed by a number is a valid name.
    #[must_use]
    pub fn identity(&self) -> DaemonIdentity {
        let name = format!("entry-{}", self.instance.index);
        DaemonIdentity {
            daemon: DaemonName::try_from(name.as_str())
                .expect("entry names are valid daemon names"),
            incarnation: IncarnationNumber::new(self.instance.incarnation),
        }
    }

    /// Reads the daemon's monotonic clock at `now_ms` of virtual time.
    #[must_use]
    pub const fn clock(&self, now_ms: u64) -> MonoTime {
        MonoTime::from_millis(now_ms + self.clock_offset_ms)
    }

    /// The cell, if this process owns it under exactly this epoch; `None` otherwise, so that
    /// answers to calls of an earlier claim are dropped.
    pub fn owned_cell(&mut self, cell: CellNumber, epoch: CellEpoch) -> Option<&mut OwnedCell> {
        let owned = self.cells.get_mut(&cell)?.owned()?;
        (owned.owner.epoch() == epoch).then_some(owned)
    }
}
