//! Selection of the workers of one cell.

use std::sync::Arc;

use sapphirestile_core::CellNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;
use sapphirestile_core::WorkerName;

use crate::division::CellLayout;
use crate::division::RackSize;
use crate::worker::WorkerEntry;
use crate::worker::WorkerEvent;

/// How long no new worker must have been listed before the layout is extended, in
/// milliseconds. Workers of a rack register within this time, and a layout that is made
/// from a part of them would put too many racks into a cell.
const SETTLING_MS: u64 = 1_600;

/// The list of all workers, from which those of one cell are selected.
#[derive(Clone, Debug)]
pub struct FleetDivision {
    cell: CellNumber,
    layout: Arc<CellLayout>,
    listed: SortedTable<WorkerName, WorkerEntry>,
    /// When a worker was last listed that had not been.
    grown: MonoTime,
}

impl FleetDivision {
    /// Creates the division for a cell, without workers.
    #[must_use]
    pub fn new(cell: CellNumber, layout: Arc<CellLayout>, now: MonoTime) -> Self {
        Self {
            cell,
            layout,
            listed: SortedTable::new(),
            grown: now,
        }
    }

    /// Replaces the list. Returns the workers of the cell.
    pub fn replace(&mut self, entries: Vec<WorkerEntry>, now: MonoTime) -> Vec<WorkerEntry> {
        let has_new = entries
            .iter()
            .any(|entry| !self.listed.contains(&entry.name));
        if has_new {
            self.grown = now;
        }
        self.listed = entries
            .into_iter()
            .map(|entry| (entry.name.clone(), entry))
            .collect();
        self.own_workers()
    }

    /// Applies a change to the list. Returns it if it concerns the cell. A worker that now
    /// names a rack of another cell is gone from this one.
    pub fn apply(&mut self, event: WorkerEvent, now: MonoTime) -> Option<WorkerEvent> {
        match &event {
            WorkerEvent::Present(entry) => {
                let is_own = self.is_own(entry);
                let name = entry.name.clone();
                let before = self.listed.insert(name.clone(), entry.clone());
                if before.is_none() {
                    self.grown = now;
                }
                if is_own {
                    return Some(event);
                }
                let was_own = before.is_some_and(|before| self.is_own(&before));
                was_own.then_some(WorkerEvent::Gone(name))
            }
            WorkerEvent::Gone(name) => {
                let removed = self.listed.remove(name)?;
                self.is_own(&removed).then_some(event)
            }
        }
    }

    /// Replaces the layout. Returns the workers of the cell.
    pub fn set_layout(&mut self, layout: &Arc<CellLayout>) -> Vec<WorkerEntry> {
        self.layout = Arc::clone(layout);
        self.own_workers()
    }

    /// The layout in use.
    #[must_use]
    pub const fn layout(&self) -> &Arc<CellLayout> {
        &self.layout
    }

    /// The layout's next version, once the list has settled; `None` if every rack has a cell.
    #[must_use]
    pub fn proposal(&self, workers_max: usize, now: MonoTime) -> Option<CellLayout> {
        if now.millis_since(self.grown) < SETTLING_MS {
            return None;
        }
        let mut sizes: SortedTable<Box<str>, RackSize> = SortedTable::new();
        for entry in self.listed.values() {
            let size = sizes.get_or_insert_with(CellLayout::rack_of(entry), || RackSize {
                zone: entry.zone.clone(),
                workers: 0,
            });
            size.workers += 1;
        }
        self.layout.extended(&sizes, workers_max)
    }

    fn own_workers(&self) -> Vec<WorkerEntry> {
        let own = self.listed.values().filter(|entry| self.is_own(entry));
        own.cloned().collect()
    }

    fn is_own(&self, entry: &WorkerEntry) -> bool {
        self.layout.cell_of(entry) == Some(self.cell)
    }
}
