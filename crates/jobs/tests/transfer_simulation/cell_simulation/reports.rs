//! What the owners read of each other.

use sapphirestile_core::CellNumber;
use sapphirestile_jobs::CellReport;
use sapphirestile_jobs::RestartNeed;
use sapphirestile_jobs::VacancyTable;

use super::CellSimulation;

impl CellSimulation {
    pub(super) fn vacancies(&self) -> VacancyTable {
        let reports: Vec<CellReport<'_>> = (0..)
            .map(CellNumber::new)
            .zip(&self.store.cells)
            .map(|(cell, rows)| CellReport {
                cell,
                vacancies: &rows.vacancies,
                age_ms: self.now - rows.written,
            })
            .collect();
        VacancyTable::new(&reports)
    }

    /// Tasks of other cells for which first runs wait, and those for which they do not any more.
    pub(super) fn restarts_elsewhere(&self, cell: usize) -> (Vec<RestartNeed>, Vec<RestartNeed>) {
        let (mut restarts, mut late) = (Vec::new(), Vec::new());
        for (other, rows) in self.store.cells.iter().enumerate() {
            if other != cell {
                restarts.extend_from_slice(&rows.restarts);
                late.extend_from_slice(&rows.late_restarts);
            }
        }
        (restarts, late)
    }
}
