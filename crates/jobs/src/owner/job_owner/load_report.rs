//! Report of a cell's load.

use crate::division::CellLoad;
use crate::division::ServiceRoom;
use crate::division::VacancySelection;
use crate::division::WorkerVacancy;
use crate::owner::JobOwner;
use crate::spec::ResourceVector;
use crate::worker::TrackedWorker;
use crate::worker::WorkerEntry;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;

/// Interval at which the load is reported, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 300;

impl JobOwner {
    /// Load of the cell, if it is due to be reported.
    pub(super) fn load_if_due(&mut self, now: MonoTime) -> Option<CellLoad> {
        if now.millis_since(self.load_reported) < REPORT_INTERVAL_MS {
            return None;
        }
        self.load_reported = now;
        Some(self.cell_load(now))
    }

    /// Room on the usable workers, and what waiting tasks need.
    #[must_use]
    pub fn cell_load(&self, now: MonoTime) -> CellLoad {
        let mut load = CellLoad::default();
        let scorer = self.worker_scorer(now);
        for tracked in self.workers.values() {
            if scorer.is_usable(tracked) {
                add_worker(&mut load, tracked);
            }
        }
        for key in self.waiting.keys() {
            let Some(entry) = self.jobs.get(&key.job) else {
                continue;
            };
            let service = self.service_of(&entry.spec.queue, &entry.spec.terms.service);
            let room = load.rooms.iter_mut().find(|room| room.service == service);
            let Some(room) = room else {
                continue;
            };
            for demand in entry.startable(key, &service) {
                let milli = demand.step.size.cpu_milli;
                if demand.step.is_best_effort {
                    room.queued_best_effort_milli += milli;
                } else {
                    room.queued_milli += milli;
                }
            }
        }
        load
    }

    /// Usable workers with the most free processor time, and some that have what these lack, for
    /// each service; none while there is no other cell.
    #[must_use]
    pub fn vacancies(&self, now: MonoTime) -> Vec<WorkerVacancy> {
        if self.cells <= 1 {
            return Vec::new();
        }
        let scorer = self.worker_scorer(now);
        let usable = self
            .workers
            .values()
            .filter(|tracked| scorer.is_usable(tracked));
        let vacancies = usable.filter_map(|tracked| {
            let entry = tracked.entry.as_ref()?;
            let free = entry.capacity.minus(tracked.used());
            (free.cpu_milli > 0).then(|| WorkerVacancy {
                service: entry.service.clone(),
                free,
                labels: kinds_of(entry).to_vec(),
            })
        });
        let mut services: SortedTable<Box<str>, Vec<WorkerVacancy>> = SortedTable::new();
        for vacancy in vacancies {
            let of_service = services.get_or_insert_with(vacancy.service.clone(), Vec::new);
            of_service.push(vacancy);
        }
        let selected = services.values().cloned().map(VacancySelection::of);
        selected.flatten().collect()
    }
}

/// Labels of a worker other than its rack, which is the last.
fn kinds_of(entry: &WorkerEntry) -> &[Box<str>] {
    let split = entry.labels.split_last();
    split.map_or(&[][..], |(_, kinds)| kinds)
}

fn add_worker(load: &mut CellLoad, tracked: &TrackedWorker) {
    let Some(entry) = &tracked.entry else {
        return;
    };
    let found = load
        .rooms
        .iter()
        .position(|room| room.service == entry.service);
    let index = found.unwrap_or_else(|| {
        load.rooms.push(ServiceRoom {
            service: entry.service.clone(),
            ..ServiceRoom::default()
        });
        load.rooms.len() - 1
    });
    let room = &mut load.rooms[index];
    room.workers += 1;
    room.largest = larger(&room.largest, &entry.capacity);
    for label in kinds_of(entry) {
        if let Err(at) = room.labels.binary_search(label) {
            room.labels.insert(at, label.clone());
        }
    }
    let capacity = entry.capacity.cpu_milli;
    room.free_milli += capacity.saturating_sub(tracked.used().cpu_milli);
    room.idle_milli += tracked.idle_cpu_milli(capacity);
}

/// The larger amount of each resource.
fn larger(one: &ResourceVector, other: &ResourceVector) -> ResourceVector {
    ResourceVector {
        cpu_milli: one.cpu_milli.max(other.cpu_milli),
        memory_mib: one.memory_mib.max(other.memory_mib),
        accelerators: one.accelerators.max(other.accelerators),
    }
}
