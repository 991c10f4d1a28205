//! The bound on the time until a long-running task that has run begins again.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use sapphirestile_jobs::StepSpec;
use sapphirestile_jobs::TaskIdentity;

use super::CellSimulation;
use super::IDLE_MAX_MS;
use super::WORKER_CPU_MILLI;
use super::WORKERS_PER_CELL;
use super::jobs::is_late;
use super::worker_labels;

/// How long a worker must have had room for a task without a break, in milliseconds.
const ROOM_MS: u64 = 3_000;

/// How long nothing must have failed, in milliseconds.
const CALM_MS: u64 = 3_000;

impl CellSimulation {
    /// Checks that no task that has run is idle for too long while a worker has room for it
    /// beside its long-running tasks.
    pub(super) fn check_restarts(&mut self) {
        self.note_room();
        self.check_waits();
    }

    /// Records since when a worker has had room for each task that is idle.
    pub(super) fn note_room(&mut self) {
        let running: BTreeSet<TaskIdentity> = self
            .workers
            .iter()
            .flat_map(|worker| worker.running.keys().copied())
            .filter(|task| self.step_of(task).is_long_running)
            .collect();
        for task in &running {
            self.last_seen.insert(*task, self.now);
        }
        let idle: Vec<TaskIdentity> = self
            .last_seen
            .keys()
            .filter(|task| !running.contains(task))
            .copied()
            .collect();
        let mut room_since = BTreeMap::new();
        for task in idle {
            for worker in self.workers_with_room(&task) {
                let before = self.room_since.get(&(task, worker));
                room_since.insert((task, worker), before.copied().unwrap_or(self.now));
            }
        }
        self.room_since = room_since;
    }

    fn check_waits(&self) {
        if self.now < self.disturbed + CALM_MS {
            return;
        }
        for ((task, worker), since) in &self.room_since {
            let idle_ms = self.now - self.last_seen[task];
            let room_ms = self.now - since;
            if is_late(&task.job) && self.workers_with_long_room(task) < 2 {
                continue;
            }
            assert!(
                idle_ms <= IDLE_MAX_MS || room_ms < ROOM_MS,
                "seed {}: {task} is idle for {idle_ms} ms at {}, worker {worker} has had room \
                 for {room_ms} ms, {:?}",
                self.seed,
                self.now,
                self.places(task),
            );
        }
    }

    /// Number of workers of the task's home that have had room for it long enough. The jobs of
    /// the simulation do not move.
    fn workers_with_long_room(&self, task: &TaskIdentity) -> usize {
        let is_home = |worker: usize| {
            let rows = &self.store.cells[worker / WORKERS_PER_CELL];
            rows.specs.contains_key(&task.job)
        };
        let rooms = self.room_since.iter().filter(|((other, worker), since)| {
            other == task && is_home(*worker) && self.now - **since >= ROOM_MS
        });
        rooms.count()
    }

    fn step_of(&self, task: &TaskIdentity) -> &StepSpec {
        let mut rows = self.store.cells.iter();
        let spec = rows.find_map(|rows| rows.specs.get(&task.job));
        &spec.expect("a job has a home").steps[task.step as usize]
    }

    /// Workers that could run a task once their short tasks have ended.
    fn workers_with_room(&self, task: &TaskIdentity) -> Vec<usize> {
        let step = self.step_of(task);
        let has_room = |index: &usize| {
            let worker = &self.workers[*index];
            let is_usable = worker.is_up(self.now)
                && !worker.unlisted.contains(&self.now)
                && !self.leaving.contains(index);
            let long = worker
                .running
                .keys()
                .map(|other| (other, self.step_of(other)))
                .filter(|(_, step)| step.is_long_running);
            let used: u64 = long.clone().map(|(_, step)| step.size.cpu_milli).sum();
            let of_job = long.filter(|(other, _)| other.job == task.job).count();
            let label = step.required_label.as_ref();
            is_usable
                && used + step.size.cpu_milli <= WORKER_CPU_MILLI
                && label.is_none_or(|label| worker_labels(*index).contains(label))
                && step.per_worker_max.is_none_or(|max| of_job < max as usize)
        };
        (0..self.workers.len()).filter(has_room).collect()
    }

    /// What each cell has stored of a task.
    fn places(&self, task: &TaskIdentity) -> Vec<String> {
        let rows = self.store.cells.iter().enumerate();
        let places = rows.map(|(cell, rows)| {
            let home = rows.progress.get(&task.job);
            let guest = rows.guests.get(&task.job);
            let home = home.and_then(|progress| progress.task(task));
            let guest = guest.and_then(|progress| progress.task(task));
            format!("cell {cell}: home {home:?} guest {guest:?}")
        });
        places.collect()
    }
}
