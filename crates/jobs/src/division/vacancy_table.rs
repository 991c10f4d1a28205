//! Free workers of all cells.

use sapphirestile_core::CellNumber;

use crate::division::CellReport;
use crate::division::VacancyCensus;
use crate::division::WorkerVacancy;
use crate::spec::StepSpec;

/// Largest free workers of all cells, as their owners have reported them, less what was given
/// away since.
#[derive(Clone, Debug, Default)]
pub struct VacancyTable {
    rows: Vec<(CellNumber, WorkerVacancy)>,
    /// Age of the report of each cell, in milliseconds.
    ages: Vec<(CellNumber, u64)>,
}

impl VacancyTable {
    /// Creates the table from the reports of the cells.
    #[must_use]
    pub fn new(reports: &[CellReport<'_>]) -> Self {
        let rows = reports.iter().flat_map(|report| {
            let vacancies = report.vacancies.iter();
            vacancies.map(|vacancy| (report.cell, vacancy.clone()))
        });
        let ages = reports.iter().map(|report| (report.cell, report.age_ms));
        Self {
            rows: rows.collect(),
            ages: ages.collect(),
        }
    }

    /// What the reports of cells other than `own` say of room for a task of the step.
    #[must_use]
    pub fn census(&self, own: CellNumber, step: &StepSpec, service: &str) -> VacancyCensus {
        let others = self.rows.iter().filter(|(cell, _)| *cell != own);
        let of_service = others.filter(|(_, vacancy)| *vacancy.service == *service);
        let largest = of_service.map(|(_, vacancy)| vacancy.free.cpu_milli).max();
        let ages = || {
            let others = self.ages.iter().filter(|(cell, _)| *cell != own);
            others.map(|(_, age_ms)| *age_ms)
        };
        let has_room = |cell: CellNumber| {
            let mut rows = self.rows.iter().filter(|(other, _)| *other == cell);
            rows.any(|(_, vacancy)| vacancy.fits(step, service))
        };
        let cells = self.ages.iter().map(|(cell, _)| *cell);
        VacancyCensus {
            cells: ages().count(),
            cells_with_room: cells.filter(|cell| *cell != own && has_room(*cell)).count(),
            largest_free_cpu_milli: largest.unwrap_or_default(),
            newest_ms: ages().min().unwrap_or_default(),
            oldest_ms: ages().max().unwrap_or_default(),
        }
    }

    /// Whether a cell other than `own` has a worker with room for a task of the step.
    #[must_use]
    pub fn has_other(&self, own: CellNumber, step: &StepSpec, service: &str) -> bool {
        self.rows
            .iter()
            .any(|(cell, vacancy)| *cell != own && vacancy.fits(step, service))
    }

    /// Takes room for a task of the step from a worker of a cell that is not in `excluded`.
    /// The search starts at a different worker for each `offset`: owners that read the same
    /// reports would all choose the same worker otherwise.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_core::CellNumber;
    /// use sapphirestile_jobs::CellReport;
    /// use sapphirestile_jobs::ResourceVector;
    /// use sapphirestile_jobs::StepSpec;
    /// use sapphirestile_jobs::VacancyTable;
    /// use sapphirestile_jobs::WorkerVacancy;
    ///
    /// let size = |cpu_milli| ResourceVector { cpu_milli, ..ResourceVector::default() };
    /// let vacancy = WorkerVacancy {
    ///     service: "sizing".into(),
    ///     free: size(3_000),
    ///     labels: Vec::new(),
    /// };
    /// let cell = CellNumber::new(4);
    /// let vacancies = std::slice::from_ref(&vacancy);
    /// let mut table = VacancyTable::new(&[CellReport { cell, vacancies, age_ms: 0 }]);
    /// let step = StepSpec { size: size(2_000), ..StepSpec::default() };
    /// assert_eq!(table.take(&[], &step, "sizing", 7), Some(cell));
    /// assert_eq!(table.take(&[], &step, "sizing", 7), None, "too little is left");
    /// ```
    pub fn take(
        &mut self,
        excluded: &[CellNumber],
        step: &StepSpec,
        service: &str,
        offset: usize,
    ) -> Option<CellNumber> {
        self.take_newer(excluded, step, service, offset, u64::MAX)
    }

    /// Takes room like [`take`](Self::take), but only of cells whose report is younger than
    /// `age_max_ms`.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_core::CellNumber;
    /// use sapphirestile_jobs::CellReport;
    /// use sapphirestile_jobs::StepSpec;
    /// use sapphirestile_jobs::VacancyTable;
    /// use sapphirestile_jobs::WorkerVacancy;
    ///
    /// let vacancies = [WorkerVacancy::default()];
    /// let cell = CellNumber::new(4);
    /// let mut table = VacancyTable::new(&[CellReport { cell, vacancies: &vacancies, age_ms: 70 }]);
    /// let step = StepSpec::default();
    /// assert_eq!(table.take_newer(&[], &step, "", 0, 70), None, "it is as old");
    /// assert_eq!(table.take_newer(&[], &step, "", 0, 71), Some(cell));
    /// ```
    pub fn take_newer(
        &mut self,
        excluded: &[CellNumber],
        step: &StepSpec,
        service: &str,
        offset: usize,
        age_max_ms: u64,
    ) -> Option<CellNumber> {
        let count = self.rows.len();
        let places = (0..count).map(|place| (place + offset) % count);
        let is_newer = |cell: &CellNumber| {
            let mut ages = self.ages.iter();
            ages.any(|(other, age_ms)| other == cell && *age_ms < age_max_ms)
        };
        let fits = |place: &usize| {
            let (cell, vacancy) = &self.rows[*place];
            !excluded.contains(cell) && vacancy.fits(step, service) && is_newer(cell)
        };
        let place = places.into_iter().find(fits)?;
        let (cell, vacancy) = &mut self.rows[place];
        vacancy.free = vacancy.free.minus(&step.size);
        Some(*cell)
    }
}
