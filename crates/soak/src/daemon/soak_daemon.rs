//! One life of a daemon.

use crate::CellSeat;
use crate::OpenSeat;
use crate::ProcessMark;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::DaemonName;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;
use sapphirestile_core::ZoneName;

/// One life of a daemon, and what it knows of the world.
#[derive(Debug)]
pub struct SoakDaemon {
    /// Which life it is.
    pub mark: ProcessMark,
    /// Whether the process runs.
    pub alive: bool,
    /// Until when it stands still, in milliseconds.
    pub frozen_until: u64,
    /// The cells that it claims or owns.
    pub seats: SortedTable<CellNumber, CellSeat>,
    /// The document's revision that it has seen.
    pub document: u64,
    /// The zones that are out by that document.
    pub zones_out: Vec<ZoneName>,
    /// The list of VMs that it has read: when, and how old the list was then, in
    /// milliseconds of the run.
    pub list: Option<(u64, u64)>,
    /// How far its clock is ahead, in milliseconds.
    offset: u64,
}

impl SoakDaemon {
    /// A life that knows nothing yet.
    #[must_use]
    pub const fn new(mark: ProcessMark, offset: u64) -> Self {
        Self {
            mark,
            alive: true,
            frozen_until: 0,
            seats: SortedTable::new(),
            document: 0,
            zones_out: Vec::new(),
            list: None,
            offset,
        }
    }

    /// The name and the life as the journal knows them.
    ///
    /// # Panics
    ///
    /// Never: the names are well formed.
    #[must_use]
    pub fn identity(&self) -> DaemonIdentity {
        let name = format!("entry-{}", self.mark.place);
        DaemonIdentity {
            daemon: DaemonName::try_from(name.as_str()).expect("the name is well formed"),
            incarnation: IncarnationNumber::new(self.mark.incarnation),
        }
    }

    /// The daemon's clock at `now`, in milliseconds.
    #[must_use]
    pub const fn clock(&self, now: u64) -> MonoTime {
        MonoTime::from_millis(now + self.offset)
    }

    /// The owner of a cell under one claim.
    pub fn open(&mut self, cell: CellNumber, epoch: CellEpoch) -> Option<&mut OpenSeat> {
        let seat = self.seats.get_mut(&cell)?.open()?;
        (seat.owner.epoch() == epoch).then_some(seat)
    }
}
