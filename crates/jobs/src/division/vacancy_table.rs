//! Free workers of all cells.

use sapphirestile_core::CellNumber;

use crate::division::WorkerVacancy;
use crate::spec::StepSpec;

/// Largest free workers of all cells, as their owners have reported them, less what was given
/// away since.
#[derive(Clone, Debug, Default)]
pub struct VacancyTable {
    rows: Vec<(CellNumber, WorkerVacancy)>,
}

impl VacancyTable {
    /// Creates the table from the reports of the cells.
    #[must_use]
    pub fn new(reports: &[(CellNumber, &[WorkerVacancy])]) -> Self {
        let rows = reports.iter().flat_map(|(cell, vacancies)| {
            let vacancies = vacancies.iter();
            vacancies.map(|vacancy| (*cell, vacancy.clone()))
        });
        Self {
            rows: rows.collect(),
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
    /// let mut table = VacancyTable::new(&[(cell, std::slice::from_ref(&vacancy))]);
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
        let count = self.rows.len();
        let places = (0..count).map(|place| (place + offset) % count);
        let fits = |place: &usize| {
            let (cell, vacancy) = &self.rows[*place];
            !excluded.contains(cell) && vacancy.fits(step, service)
        };
        let place = places.into_iter().find(fits)?;
        let (cell, vacancy) = &mut self.rows[place];
        vacancy.free = vacancy.free.minus(&step.size);
        Some(*cell)
    }
}
