//! Division of workers and jobs among the cells.

use sapphirestile_core::CellNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_jobs::CellChoice;

use crate::cells::CellTable;
use crate::owner::LayoutChange;
use crate::owner::OwnershipTerm;
use crate::owner::WriteRequest;

/// The cell whose owner extends the layout.
const LAYOUT_CELL: CellNumber = CellNumber::new(0);

/// The interval between two proposals to extend the layout, in milliseconds. A proposal is
/// read back within it.
const PROPOSAL_INTERVAL_MS: u64 = 1_000;

impl OwnershipTerm {
    /// Applies the latest read of the cells' rows: a new layout, and the loads of the other
    /// cells, to which waiting jobs and tasks may go.
    pub(super) fn apply_cell_table(&mut self, now: MonoTime, unix_ms: u64) {
        let table = self.context.cells.load_full();
        if table.layout != *self.division.layout() {
            let workers = self.division.set_layout(&table.layout);
            self.owner.replace_workers(workers, now);
        }
        self.owner.set_cells(self.division.layout().cells());
        if table.reads == self.cells_read || self.context.is_stopping() {
            return;
        }
        self.cells_read = table.reads;
        if self.cell == LAYOUT_CELL && !table.has_unreadable_layout() {
            self.propose_layout(&table, now);
        }
        let (restarts, late) = table.restarts_elsewhere(self.cell, now);
        self.owner.set_restarts_elsewhere(restarts, late);
        let loads = table.loads(now);
        if loads.len() > 1 {
            let choice = CellChoice {
                layout: &table.layout,
                loads: &loads,
            };
            self.owner.plan_moves(self.cell, &choice, now, unix_ms);
            let mut vacancies = table.vacancies(now);
            self.owner.plan_transfers(self.cell, &mut vacancies, now);
        }
    }

    fn propose_layout(&mut self, table: &CellTable, now: MonoTime) {
        if now.millis_since(self.layout_proposed) < PROPOSAL_INTERVAL_MS {
            return;
        }
        let workers_max = self.context.settings.node.workers_per_cell();
        let Some(layout) = self.division.proposal(workers_max, now) else {
            return;
        };
        self.layout_proposed = now;
        let change = LayoutChange {
            layout,
            revision: table.layout_revision,
        };
        // Sending fails only after the writer has reported that the owner was deposed.
        let _ = self.requests.send(WriteRequest::Layout(change));
    }
}
