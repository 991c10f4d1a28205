//! A cell with its journal, its worker and perhaps an owner.

use sapphirestile_cells::CellOwner;
use sapphirestile_cells::CellState;
use sapphirestile_cells::JournalEntry;
use sapphirestile_cells::OpenPhase;
use sapphirestile_cells::TaskEntry;
use sapphirestile_core::CellNumber;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::DaemonName;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_core::ResourceSize;

use crate::fake_worker::FakeWorker;
use crate::waiting_answer::WaitingAnswer;

/// A cell with its journal, its worker and perhaps an owner.
#[derive(Debug, Default)]
pub struct ShareSeat {
    pub owner: Option<CellOwner<OpenPhase>>,
    /// Counts the owners.
    pub life: u64,
    pub flight: Option<JournalEntry>,
    pub journal: CellState,
    pub worker: FakeWorker,
    pub waiting: Vec<WaitingAnswer>,
    pub entries: u64,
}

impl ShareSeat {
    /// Lets the next owner claim the cell.
    pub fn claim(&mut self, cell: CellNumber) {
        self.life += 1;
        let identity = DaemonIdentity {
            daemon: DaemonName::try_from("entry-1").unwrap(),
            incarnation: IncarnationNumber::new(self.life),
        };
        let claiming = CellOwner::claim(cell, identity, self.journal.clone(), self.life);
        self.journal.fold(claiming.entry());
        self.owner = Some(claiming.claimed());
    }

    /// Ends the owner. Whether its entry in flight lands is the caller's to say.
    pub fn kill(&mut self, lands: bool) {
        if let Some(entry) = self.flight.take().filter(|_| lands) {
            self.journal.fold(&entry);
        }
        self.owner = None;
        self.waiting.clear();
    }

    /// What the tasks take that the journal has assigned.
    pub fn assigned(&self) -> ResourceSize {
        let tasks = self.journal.tasks().values();
        let sizes = tasks.filter_map(|entry| match entry {
            TaskEntry::Assigned(cycle) => Some(cycle.phase().size),
            _ => None,
        });
        sizes.fold(ResourceSize::default(), |sum, size| sum.plus(&size))
    }

    pub fn open_tasks(&self) -> u32 {
        let jobs = self.journal.jobs().values();
        jobs.map(|record| record.open_tasks).sum()
    }
}
