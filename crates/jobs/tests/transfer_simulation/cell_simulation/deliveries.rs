//! Delivery of requests and responses, with the invariant checked at each start.

use rand::Rng;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;
use sapphirestile_jobs::EndKind;
use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::StartRequest;
use sapphirestile_jobs::TaskIdentity;

use super::CellSimulation;
use super::END_MS;
use super::jobs::is_short;
use crate::fake_worker::FakeRun;
use crate::simulation_event::SimulationEvent;
use crate::store_commit::StoreCommit;

impl CellSimulation {
    pub(super) fn deliver(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::CommitArrives { cell, generation } => self.commit(cell, generation),
            SimulationEvent::StartArrives {
                cell,
                generation,
                sent,
                incarnation,
                request,
            } => {
                // A request is sent on a connection, which belongs to one incarnation.
                if self.incarnation_of(&request.worker) == incarnation {
                    self.start(cell, generation, sent, &request);
                }
            }
            SimulationEvent::StopArrives {
                cell,
                generation,
                sent,
                request,
            } => {
                let Some(index) = self.find_worker(&request.worker) else {
                    return;
                };
                let outcome = self.workers[index].stop(&request, self.now);
                self.respond(SimulationEvent::StopReturns {
                    cell,
                    generation,
                    sent,
                    worker: request.worker,
                    task: request.task,
                    run: request.run,
                    outcome,
                });
            }
            SimulationEvent::PollArrives {
                cell,
                generation,
                sent,
                request,
            } => {
                let Some(index) = self.find_worker(&request.worker) else {
                    return;
                };
                let (outcome, _) = self.workers[index].poll(&request, self.now);
                self.respond(SimulationEvent::PollReturns {
                    cell,
                    generation,
                    sent,
                    worker: request.worker,
                    number: request.number,
                    outcome,
                });
            }
            event => self.give_response(event),
        }
    }

    /// Present incarnation of a worker; 0 if there is no such worker.
    pub(super) fn incarnation_of(&self, name: &WorkerName) -> u64 {
        let worker = self.workers.iter().find(|worker| worker.name == *name);
        worker.map_or(0, |worker| worker.incarnation)
    }

    /// Index of a worker that can be reached; `None` once it has left.
    fn find_worker(&self, name: &WorkerName) -> Option<usize> {
        let index = self
            .workers
            .iter()
            .position(|worker| worker.name == *name)?;
        let worker = &self.workers[index];
        let has_left = self.leaving.contains(&index) && worker.unlisted.contains(&self.now);
        (worker.is_up(self.now) && !has_left).then_some(index)
    }

    /// Starts a run at its worker, and checks that the task runs only there.
    fn start(&mut self, cell: usize, generation: u64, sent: u64, request: &StartRequest) {
        let Some(index) = self.find_worker(&request.worker) else {
            return;
        };
        let (duration_ms, kind) = self.next_end(&request.task);
        let run = FakeRun {
            run: request.run,
            end: self.now + duration_ms,
            kind,
        };
        let outcome = self.workers[index].start(request, run, self.now);
        if outcome == StartOutcome::Accepted {
            let runs = self.runs_of(&request.task);
            assert_eq!(
                runs, 1,
                "seed {} faults {}: {} runs on several workers at {}",
                self.seed, self.faults, request.task, self.now
            );
        }
        self.respond(SimulationEvent::StartReturns {
            cell,
            generation,
            sent,
            worker: request.worker.clone(),
            task: request.task,
            run: request.run,
            outcome,
        });
    }

    /// Duration of a run, and how it ends.
    fn next_end(&mut self, task: &TaskIdentity) -> (u64, EndKind) {
        if is_short(&task.job) {
            return (self.random.random_range(300..2_000), EndKind::Done);
        }
        if self.mixture.has_returning_workers {
            return (END_MS, EndKind::Failed);
        }
        if self.mixture.has_ending_runs {
            let duration_ms = self.random.random_range(2_000..40_000);
            return (duration_ms, EndKind::Broken);
        }
        let does_fail = self.random.random_bool(0.1);
        let duration_ms = if does_fail {
            self.random.random_range(200..3_000)
        } else {
            END_MS
        };
        (duration_ms, EndKind::Failed)
    }

    /// Sends a response, which may be lost.
    fn respond(&mut self, event: SimulationEvent) {
        if self.injects(2) && self.random.random_bool(0.05) {
            return;
        }
        let delay = self.random.random_range(1..8);
        self.schedule(delay, event);
    }

    /// Stores the next commit of a batch, and tells the owner after the last.
    fn commit(&mut self, cell: usize, generation: u64) {
        if self.cells[cell].generation != generation {
            return;
        }
        let Some(commit) = self.cells[cell].commits.pop_front() else {
            return;
        };
        let version = self.cells[cell].version;
        let is_stored = self.store.commit(cell, version, &commit);
        let is_stored = is_stored.expect("only the owner writes the head row while it lives");
        let state = &mut self.cells[cell];
        if is_stored {
            self.store.cells[cell].written = self.now;
            state.version += 1;
        } else if let StoreCommit::Transfer(transfer) = &commit {
            state.refused.push(transfer.job);
        }
        if !state.commits.is_empty() {
            self.schedule(4, SimulationEvent::CommitArrives { cell, generation });
            return;
        }
        state.batch = None;
        let refused = std::mem::take(&mut state.refused);
        let (now, unix_ms) = (MonoTime::from_millis(self.now), self.now);
        if let Some(owner) = &mut state.owner {
            owner.confirm_batch(now, unix_ms);
            owner.finish_transfers(&refused, now, unix_ms);
        }
    }

    /// Whether a response or a timeout is the outcome of a request, whose sender lives.
    fn is_outcome(&mut self, cell: usize, generation: u64, sent: u64) -> bool {
        self.cells[cell].generation == generation && self.finished_calls.insert(sent)
    }

    /// Gives a response to the owner that sent the request, if it lives.
    fn give_response(&mut self, event: SimulationEvent) {
        let (now, unix_ms) = (MonoTime::from_millis(self.now), self.now);
        match event {
            SimulationEvent::StartReturns {
                cell,
                generation,
                sent,
                worker,
                task,
                run,
                outcome,
            } if self.is_outcome(cell, generation, sent) => {
                if let Some(owner) = &mut self.cells[cell].owner {
                    owner.handle_start_outcome(&worker, &task, run, outcome, now, unix_ms);
                }
            }
            SimulationEvent::StopReturns {
                cell,
                generation,
                sent,
                worker,
                task,
                run,
                outcome,
            } if self.is_outcome(cell, generation, sent) => {
                if let Some(owner) = &mut self.cells[cell].owner {
                    owner.handle_stop_outcome(&worker, &task, run, outcome, now);
                }
            }
            SimulationEvent::PollReturns {
                cell,
                generation,
                sent,
                worker,
                number,
                outcome,
            } if self.is_outcome(cell, generation, sent) => {
                if let Some(owner) = &mut self.cells[cell].owner {
                    owner.handle_poll_outcome(&worker, number, outcome, now, unix_ms);
                }
            }
            _ => {}
        }
    }
}
