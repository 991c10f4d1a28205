//! Report of a cell's free workers.

use sapphirestile_core::CellNumber;

use crate::division::WorkerVacancy;

/// Report of a cell's free workers, as last read.
#[derive(Clone, Copy, Debug)]
pub struct CellReport<'a> {
    /// Cell of the workers.
    pub cell: CellNumber,
    /// Largest free workers of each service.
    pub vacancies: &'a [WorkerVacancy],
    /// Time since this report was first read, in milliseconds.
    pub age_ms: u64,
}
