//! Selection of the free workers that are reported.

use std::cmp::Reverse;

use crate::division::WorkerVacancy;

/// Number of workers that are selected for their free processor time.
const LARGEST_MAX: usize = 8;

/// Number of workers that are selected for their free memory, and for their free accelerators,
/// if the others have fewer of these.
const OTHER_RESOURCE_MAX: usize = 2;

/// Maximum number of workers of a service in a report, which every daemon reads.
const VACANCIES_MAX: usize = 16;

/// Selection of the free workers of one service that are reported to the other cells: those
/// with the most free processor time, and some that have what all of these lack.
#[derive(Clone, Debug)]
pub struct VacancySelection {
    /// Workers that are not selected, the most free processor time first.
    rest: Vec<WorkerVacancy>,
    selected: Vec<WorkerVacancy>,
}

impl VacancySelection {
    /// Selects among the free workers of a service.
    #[must_use]
    pub fn of(mut vacancies: Vec<WorkerVacancy>) -> Vec<WorkerVacancy> {
        vacancies.sort_by_key(|vacancy| Reverse(vacancy.free.cpu_milli));
        let rest = vacancies.split_off(vacancies.len().min(LARGEST_MAX));
        let mut selection = Self {
            rest,
            selected: vacancies,
        };
        selection.add_richest(|vacancy| vacancy.free.memory_mib);
        selection.add_richest(|vacancy| vacancy.free.accelerators);
        selection.add_labels();
        selection.selected
    }

    /// Adds the workers with the most of a resource.
    fn add_richest(&mut self, amount: impl Fn(&WorkerVacancy) -> u64) {
        let most = self.selected.iter().map(&amount).max().unwrap_or_default();
        for _ in 0..OTHER_RESOURCE_MAX {
            let places = 0..self.rest.len();
            let richest = places.max_by_key(|place| {
                let vacancy = &self.rest[*place];
                (amount(vacancy), vacancy.free.cpu_milli)
            });
            let richest = richest.filter(|place| amount(&self.rest[*place]) > most);
            let Some(place) = richest else {
                return;
            };
            self.select(place);
        }
    }

    /// Adds the largest workers with labels that no selected one has.
    fn add_labels(&mut self) {
        while self.selected.len() < VACANCIES_MAX {
            let has_new = |vacancy: &WorkerVacancy| {
                let mut labels = vacancy.labels.iter();
                labels.any(|label| !self.has_label(label))
            };
            let Some(place) = self.rest.iter().position(has_new) else {
                return;
            };
            self.select(place);
        }
    }

    /// Whether a selected worker has the label.
    fn has_label(&self, label: &str) -> bool {
        let mut labels = self.selected.iter().flat_map(|vacancy| &vacancy.labels);
        labels.any(|own| **own == *label)
    }

    fn select(&mut self, place: usize) {
        let vacancy = self.rest.remove(place);
        self.selected.push(vacancy);
    }
}
