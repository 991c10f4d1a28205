//! Simulated cells.

use sapphirestile_cells::CellOwner;
use sapphirestile_cells::CellState;
use sapphirestile_cells::JournalEntry;
use sapphirestile_cells::OwningPhase;
use sapphirestile_cells::TaskEntry;
use sapphirestile_core::CellNumber;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::DaemonName;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_core::ResourceSize;

use crate::fake_worker::FakeWorker;
use crate::pending_answer::PendingAnswer;

/// A cell with its journal, its worker and, unless it is vacant, its owner.
#[derive(Debug, Default)]
pub struct SimulatedCell {
    pub owner: Option<CellOwner<OwningPhase>>,
    /// Incarnation of the current or latest owner.
    pub incarnation: u64,
    pub in_flight: Option<JournalEntry>,
    pub journal: CellState,
    pub worker: FakeWorker,
    pub pending_answers: Vec<PendingAnswer>,
    pub entries: u64,
}

impl SimulatedCell {
    /// Claims the cell for the next owner.
    pub fn claim(&mut self, cell: CellNumber) {
        self.incarnation += 1;
        let identity = DaemonIdentity {
            daemon: DaemonName::try_from("entry-1").unwrap(),
            incarnation: IncarnationNumber::new(self.incarnation),
        };
        let claiming = CellOwner::claim(cell, identity, self.journal.clone(), self.incarnation);
        self.journal.fold(claiming.entry());
        self.owner = Some(claiming.claimed());
    }

    /// Kills the owner. `is_committed` says whether its entry in flight reaches the journal.
    pub fn kill(&mut self, is_committed: bool) {
        if let Some(entry) = self.in_flight.take().filter(|_| is_committed) {
            self.journal.fold(&entry);
        }
        self.owner = None;
        self.pending_answers.clear();
    }

    /// Resources allocated to the tasks that the journal has assigned.
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
        jobs.map(|progress| progress.open_tasks).sum()
    }
}
