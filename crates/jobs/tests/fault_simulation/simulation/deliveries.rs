//! Delivery of requests and responses, with the invariants checked at each.

use rand::Rng;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;
use sapphirestile_jobs::EndKind;
use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::TaskStage;
use sapphirestile_jobs::WorkerIncarnation;

use crate::fake_end::FakeEnd;
use crate::fake_worker::FakeRun;
use crate::simulation::Simulation;
use crate::simulation_event::SimulationEvent;

use super::COPIES;
use super::END_MS;
use super::GANGS;
use super::TIMEOUT_MS;

impl Simulation {
    /// Checks that a completion which a worker drops is stored, since it cannot be read again,
    /// and that the task was not started after it. Neither holds if the lease of the worker
    /// lapsed before it could tell the owner.
    pub(super) fn check_acknowledged(&mut self, end: &FakeEnd) {
        let task = end.run.task;
        if end.run.kind != EndKind::Done {
            return;
        }
        let started = self.started.get(&task).copied().unwrap_or(0);
        assert!(
            started <= end.at || end.has_lapsed || self.faults == COPIES,
            "seed {}: {task} started at {started}, after its completion at {}",
            self.seed,
            end.at
        );
        let is_forgotten = !self.store.specs.contains_key(&task.job);
        let Some(progress) = self.store.progress.get(&task.job) else {
            assert!(is_forgotten, "progress of a job with ended runs is stored");
            return;
        };
        let stored = progress.task(&task).map(|task| &task.stage);
        let is_stored = progress.standing.is_final() || stored == Some(&TaskStage::Done);
        assert!(
            is_stored || end.has_lapsed,
            "seed {}: the completion of {task} was acknowledged before it was stored",
            self.seed
        );
        if stored == Some(&TaskStage::Done) {
            self.acknowledged.entry(task).or_insert(self.now);
        }
    }

    /// Index of a worker that the daemon can reach now; `None` if it cannot.
    pub(super) fn find_reachable(&self, daemon: usize, name: &WorkerName) -> Option<usize> {
        let index = self
            .workers
            .iter()
            .position(|worker| worker.name == *name)?;
        self.is_reachable(daemon, index).then_some(index)
    }

    /// Whether the daemon can reach a worker now.
    pub(super) fn is_reachable(&self, daemon: usize, worker: usize) -> bool {
        let worker = &self.workers[worker];
        let is_connected = match worker.reachable_from {
            Some((only, until)) if self.now < until => only == daemon,
            _ => self.now >= self.daemons[daemon].partitioned_until,
        };
        let is_partitioned = self.now < worker.partitioned_until || !is_connected;
        !is_partitioned && worker.is_up(self.now)
    }

    /// Handles a start request at its worker, and checks that the task runs only there.
    pub(super) fn start(
        &mut self,
        daemon: usize,
        incarnation: u64,
        request: &sapphirestile_jobs::StartRequest,
    ) {
        let Some(index) = self.find_reachable(daemon, &request.worker) else {
            return;
        };
        let present = WorkerIncarnation::from_unix_ms(self.workers[index].incarnation);
        if request.incarnation != present {
            return;
        }
        let is_long_running = request.spec.is_long_running();
        let kind = if self.random.random_bool(0.1) {
            EndKind::Failed
        } else {
            EndKind::Done
        };
        let duration_ms = if is_long_running || self.faults == GANGS {
            END_MS
        } else if let Some(run_ms) = self.recut_run_ms().or_else(|| self.copied_run_ms()) {
            run_ms
        } else {
            self.random.random_range(200..2_500)
        };
        let run = FakeRun {
            run: request.run,
            end: self.now + duration_ms,
            kind,
        };
        let (now, seed) = (self.now, self.seed);
        let outcome = self.workers[index].start(request, run, now);
        if outcome == StartOutcome::Accepted {
            let task = request.task;
            self.started.insert(task, now);
            self.check_single_run(index, &task);
            let acknowledged = self.acknowledged.get(&task);
            assert!(
                acknowledged.is_none_or(|at| now < at + self.start_grace_ms()),
                "seed {seed} at {now}: {task} restarted after its completion was acknowledged"
            );
        }
        self.send_response(SimulationEvent::StartReturns {
            daemon,
            incarnation,
            worker: request.worker.clone(),
            task: request.task,
            run: request.run,
            outcome,
        });
    }

    /// Sends a response, which may be lost.
    pub(super) fn send_response(&mut self, event: SimulationEvent) {
        let is_lost = self.injects(1) && self.random.random_bool(0.05);
        if is_lost {
            self.watch.disturb(self.now + TIMEOUT_MS);
            return;
        }
        let delay = self.random.random_range(1..8);
        self.schedule(delay, event);
    }

    /// Delivers an event to the process that it is for, or queues it while that is paused.
    pub(super) fn deliver(&mut self, event: SimulationEvent) {
        let (daemon, incarnation) = match &event {
            SimulationEvent::PollReturns {
                daemon,
                incarnation,
                ..
            }
            | SimulationEvent::StartReturns {
                daemon,
                incarnation,
                ..
            }
            | SimulationEvent::StopReturns {
                daemon,
                incarnation,
                ..
            }
            | SimulationEvent::CommitReturns {
                daemon,
                incarnation,
                ..
            } => (*daemon, *incarnation),
            _ => return,
        };
        if self.daemons[daemon].incarnation != incarnation {
            return;
        }
        if self.now < self.daemons[daemon].paused_until {
            self.daemons[daemon].queued.push(event);
            return;
        }
        self.handle_event(daemon, event);
    }

    /// Whether a request has no outcome yet: of its response and its timeout, only the first
    /// counts.
    pub(super) fn is_first_outcome(&mut self, event: &SimulationEvent) -> bool {
        let call = match event {
            SimulationEvent::PollReturns {
                daemon,
                incarnation,
                worker,
                sent,
                ..
            } => {
                format!("poll {daemon} {incarnation} {worker} {sent}")
            }
            SimulationEvent::StartReturns {
                daemon,
                incarnation,
                task,
                run,
                ..
            } => {
                format!("start {daemon} {incarnation} {task} {run}")
            }
            _ => return true,
        };
        self.finished_calls.insert(call)
    }

    pub(super) fn handle_event(&mut self, daemon: usize, event: SimulationEvent) {
        if !self.is_first_outcome(&event) {
            return;
        }
        let unix_ms = self.now;
        let state = &mut self.daemons[daemon];
        let now = MonoTime::from_millis(unix_ms);
        let Some(owner) = &mut state.owner else {
            return;
        };
        match event {
            SimulationEvent::PollReturns {
                worker,
                number,
                outcome,
                ..
            } => {
                owner.handle_poll_outcome(&worker, number, outcome, now, unix_ms);
            }
            SimulationEvent::StartReturns {
                worker,
                task,
                run,
                outcome,
                ..
            } => {
                owner.handle_start_outcome(&worker, &task, run, outcome, now, unix_ms);
            }
            SimulationEvent::StopReturns {
                worker,
                task,
                run,
                outcome,
                ..
            } => {
                owner.handle_stop_outcome(&worker, &task, run, outcome, now);
            }
            SimulationEvent::CommitReturns { is_stored, .. } => {
                state.is_committing = false;
                if is_stored {
                    owner.confirm_batch(now, unix_ms);
                } else {
                    state.owner = None;
                    state.incarnation += 1;
                }
            }
            _ => {}
        }
    }
}
