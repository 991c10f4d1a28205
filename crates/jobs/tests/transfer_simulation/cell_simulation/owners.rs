//! Claims of the cells, and what their owners do with time.

use std::sync::Arc;

use rand::Rng;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ZoneName;
use sapphirestile_jobs::DeployedConfig;
use sapphirestile_jobs::JobOwner;
use sapphirestile_jobs::JobPlace;
use sapphirestile_jobs::JobProgress;
use sapphirestile_jobs::OwnerEffect;
use sapphirestile_jobs::OwnerLimits;
use sapphirestile_jobs::PollOutcome;
use sapphirestile_jobs::ResourceVector;
use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::StopOutcome;
use sapphirestile_jobs::StoredJob;
use sapphirestile_jobs::WorkerEntry;
use sapphirestile_jobs::WorkerIncarnation;

use super::CellSimulation;
use super::HEARTBEAT_MS;
use super::TIMEOUT_MS;
use super::VIEW_MS;
use super::WORKER_CPU_MILLI;
use super::WORKERS_PER_CELL;
use super::worker_labels;
use crate::cell_rows::CellRows;
use crate::simulation_event::SimulationEvent;
use crate::store_commit::StoreCommit;

impl CellSimulation {
    pub(super) fn tick(&mut self, cell: usize) {
        if self.cells[cell].owner.is_none() {
            if self.now >= self.cells[cell].claim_at {
                self.claim(cell);
            }
            return;
        }
        self.read_rows(cell);
        self.drive(cell);
    }

    fn claim(&mut self, cell: usize) {
        let epochs = self.store.cells.iter().map(|rows| rows.epoch);
        let epoch = epochs.max().unwrap_or(0) + 1;
        let rows = &mut self.store.cells[cell];
        rows.epoch = epoch;
        rows.version += 1;
        let (version, inherited) = (rows.version, rows.lease_bounds.clone());
        let now = MonoTime::from_millis(self.now);
        let limits = OwnerLimits {
            lease_ms: OwnerLimits::LEASE_MS,
            lease_max_ms: 6_000,
            authority_ms: OwnerLimits::AUTHORITY_MS,
            retention_ms: 1_000_000,
        };
        let config = Arc::new(DeployedConfig::default());
        let epoch = CellEpoch::new(epoch);
        let mut owner = JobOwner::new(epoch, limits, config, Vec::new(), inherited, now);
        owner.set_cells(u16::try_from(self.mixture.cells).unwrap());
        if let Some(learnt) = &rows.learnt {
            owner.restore_learnt(learnt);
        }
        owner.replace_workers(self.entries(cell), now);
        restore(&mut owner, &self.store.cells[cell], now, self.now);
        let state = &mut self.cells[cell];
        state.owner = Some(owner);
        state.version = version;
        state.last_commit = self.now;
    }

    /// Lets the owner read the rows of its cell. A listing may arrive after later ones.
    fn read_rows(&mut self, cell: usize) {
        let rows = self.store.cells[cell].clone();
        let now = MonoTime::from_millis(self.now);
        self.give_rows(cell, &rows, now);
        if !self.injects(3) {
            return;
        }
        if self.cells[cell].outdated.is_none() {
            self.cells[cell].outdated = Some(rows);
        } else if self.random.random_bool(0.05)
            && let Some(outdated) = self.cells[cell].outdated.take()
        {
            self.give_rows(cell, &outdated, now);
        }
    }

    fn give_rows(&mut self, cell: usize, rows: &CellRows, now: MonoTime) {
        let unix_ms = self.now;
        let Some(owner) = &mut self.cells[cell].owner else {
            return;
        };
        for (job, spec) in &rows.specs {
            owner.accept_job(*job, spec.clone(), now, unix_ms);
        }
        for task in rows.delegated.values() {
            owner.receive_task(task.clone(), now, unix_ms);
        }
        for task in rows.returned.values() {
            owner.take_back_task(task.clone(), now, unix_ms);
        }
        for job in &rows.cancelled {
            owner.cancel_job(*job, now);
        }
    }

    fn entries(&self, cell: usize) -> Vec<WorkerEntry> {
        let own = cell * WORKERS_PER_CELL..(cell + 1) * WORKERS_PER_CELL;
        let listed = own.filter(|index| !self.workers[*index].unlisted.contains(&self.now));
        let entry = |index: usize| {
            let worker = &self.workers[index];
            WorkerEntry {
                name: worker.name.clone(),
                service: "sizing".into(),
                address: worker.address,
                zone: ZoneName::try_from("near-a").unwrap(),
                labels: worker_labels(index),
                capacity: ResourceVector {
                    cpu_milli: WORKER_CPU_MILLI,
                    memory_mib: 64_000,
                    accelerators: 0,
                },
                is_leaving: self.leaving.contains(&index),
                incarnation: WorkerIncarnation::from_unix_ms(worker.incarnation),
            }
        };
        listed.map(entry).collect()
    }

    /// Lets an owner handle the time and sends what it requests.
    fn drive(&mut self, cell: usize) {
        let (entries, mut vacancies) = (self.entries(cell), self.vacancies());
        let (restarts, late) = self.restarts_elsewhere(cell);
        let (now, unix_ms) = (MonoTime::from_millis(self.now), self.now);
        let number = CellNumber::new(u16::try_from(cell).unwrap());
        let state = &mut self.cells[cell];
        let generation = state.generation;
        let Some(owner) = &mut state.owner else {
            return;
        };
        owner.replace_workers(entries, now);
        owner.advance_time(now, unix_ms);
        owner.plan_starts(now, unix_ms);
        owner.poll_due_workers(now);
        if unix_ms >= state.next_view {
            state.next_view = unix_ms + VIEW_MS;
            owner.set_restarts_elsewhere(restarts, late);
            owner.plan_transfers(number, &mut vacancies, now);
        }
        let effects = owner.take_effects();
        if state.batch.is_none() {
            let is_due = unix_ms >= state.last_commit + HEARTBEAT_MS;
            if let Some(batch) = owner.take_batch(is_due, now) {
                state.commits = StoreCommit::all_of(&batch).into();
                state.batch = Some(batch);
                state.last_commit = unix_ms;
                self.schedule(4, SimulationEvent::CommitArrives { cell, generation });
            }
        }
        for effect in effects {
            self.send_request(cell, generation, effect);
        }
    }

    /// Sends a request, which may be late, and schedules its timeout.
    fn send_request(&mut self, cell: usize, generation: u64, effect: OwnerEffect) {
        let is_late = self.injects(2) && self.random.random_bool(0.05);
        let delay = if is_late {
            self.random.random_range(1_000..6_000)
        } else {
            self.random.random_range(1..8)
        };
        let sent = self.sequence;
        let (timeout, arrival) = match effect {
            OwnerEffect::Start(request) => (
                SimulationEvent::StartReturns {
                    cell,
                    generation,
                    sent,
                    worker: request.worker.clone(),
                    task: request.task,
                    run: request.run,
                    outcome: StartOutcome::Unknown,
                },
                SimulationEvent::StartArrives {
                    cell,
                    generation,
                    sent,
                    incarnation: self.incarnation_of(&request.worker),
                    request,
                },
            ),
            OwnerEffect::Stop(request) => (
                SimulationEvent::StopReturns {
                    cell,
                    generation,
                    sent,
                    worker: request.worker.clone(),
                    task: request.task,
                    run: request.run,
                    outcome: StopOutcome::Unknown,
                },
                SimulationEvent::StopArrives {
                    cell,
                    generation,
                    sent,
                    request,
                },
            ),
            OwnerEffect::Poll(request) => (
                SimulationEvent::PollReturns {
                    cell,
                    generation,
                    sent,
                    worker: request.worker.clone(),
                    number: request.number,
                    outcome: PollOutcome::NoResponse,
                },
                SimulationEvent::PollArrives {
                    cell,
                    generation,
                    sent,
                    request,
                },
            ),
            OwnerEffect::Pace(_) | OwnerEffect::Advise(_) | OwnerEffect::Forget { .. } => return,
        };
        self.schedule(TIMEOUT_MS, timeout);
        self.schedule(delay, arrival);
    }
}

/// Restores the jobs of a cell, as a new owner reads them.
fn restore(owner: &mut JobOwner, rows: &CellRows, now: MonoTime, unix_ms: u64) {
    for (job, spec) in &rows.specs {
        let stored = StoredJob {
            identity: *job,
            spec: spec.clone(),
            progress: rows.progress.get(job).cloned(),
            place: JobPlace::Home,
            is_cancelled: rows.cancelled.contains(job),
        };
        owner.restore_job(stored, now, unix_ms);
    }
    for delegated in rows.delegated.values() {
        let job = delegated.task.job;
        let progress = rows.guests.get(&job).cloned();
        let stored = StoredJob {
            identity: job,
            spec: delegated.spec.clone(),
            progress: progress.or_else(|| Some(JobProgress::of_guest(&delegated.spec))),
            place: JobPlace::Guest {
                home: delegated.home,
            },
            is_cancelled: rows.cancelled.contains(&job),
        };
        owner.restore_job(stored, now, unix_ms);
    }
    for delegated in rows.delegated.values() {
        owner.receive_task(delegated.clone(), now, unix_ms);
    }
    for returned in rows.returned.values() {
        owner.take_back_task(returned.clone(), now, unix_ms);
    }
    owner.restore_idle_tasks(&rows.idle_tasks, now);
}
