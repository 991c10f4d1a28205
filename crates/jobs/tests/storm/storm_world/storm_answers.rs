//! What arrives at workers and daemons, and what must hold then.

use rand::Rng;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;
use sapphirestile_jobs::EndKind;
use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::TaskAddress;
use sapphirestile_jobs::TaskPhase;

use crate::fake_worker::FakeRun;
use crate::storm_event::StormEvent;
use crate::storm_world::StormWorld;

use super::END;

impl StormWorld {
    /// An end that a worker forgets must be stored: nobody can ask for it again.
    pub(super) fn note(&mut self, task: TaskAddress, kind: EndKind) {
        if kind != EndKind::Done {
            return;
        }
        let record = self
            .store
            .records
            .get(&task.job)
            .expect("a job with ends is stored");
        let stored = record.task(&task).map(|task| &task.phase);
        let is_stored = record.standing.is_final() || stored == Some(&TaskPhase::Done);
        let is_other_run = stored.is_some() && !is_stored;
        assert!(
            is_stored || is_other_run,
            "seed {}: the end of {task} was noted and not stored",
            self.seed
        );
        if stored == Some(&TaskPhase::Done) {
            self.noted.insert(task);
        }
    }

    pub(super) fn reached(&self, daemon: usize, name: &WorkerName) -> Option<usize> {
        let place = self
            .workers
            .iter()
            .position(|worker| worker.name == *name)?;
        let worker = &self.workers[place];
        let sees = match worker.reached_by {
            Some((only, until)) if self.now < until => only == daemon,
            _ => self.now >= self.daemons[daemon].cut_until,
        };
        let is_cut = self.now < worker.cut_until || !sees;
        (!is_cut && self.now >= worker.dead_until).then_some(place)
    }

    pub(super) fn start(
        &mut self,
        daemon: usize,
        life: u64,
        worker_life: u64,
        order: &sapphirestile_jobs::StartOrder,
    ) {
        let Some(place) = self.reached(daemon, &order.worker) else {
            return;
        };
        if self.workers[place].life != worker_life {
            return;
        }
        let is_lasting = order.order.is_lasting();
        let kind = if self.random.random_bool(0.1) {
            EndKind::Failed
        } else {
            EndKind::Done
        };
        let length = if is_lasting {
            END
        } else {
            self.random.random_range(200..2_500)
        };
        let run = FakeRun {
            run: order.run,
            end: self.now + length,
            kind,
        };
        let (now, seed) = (self.now, self.seed);
        let outcome = self.workers[place].start(order, run, now);
        if outcome == StartOutcome::Accepted {
            let task = order.task;
            let running = self
                .workers
                .iter()
                .filter(|worker| worker.running.contains_key(&task));
            assert_eq!(
                running.count(),
                1,
                "seed {seed} at {now}: {task} runs twice"
            );
            assert!(
                !self.noted.contains(&task),
                "seed {seed} at {now}: {task} ran again"
            );
        }
        self.answer(StormEvent::StartReturns {
            daemon,
            life,
            worker: order.worker.clone(),
            task: order.task,
            run: order.run,
            outcome,
        });
    }

    pub(super) fn answer(&mut self, event: StormEvent) {
        let is_lost = self.has(1) && self.random.random_bool(0.05);
        if !is_lost {
            let delay = self.random.random_range(1..8);
            self.put(delay, event);
        }
    }

    /// Gives a daemon what arrives for its process, later if it sleeps.
    pub(super) fn deliver(&mut self, event: StormEvent) {
        let (daemon, life) = match &event {
            StormEvent::LookReturns { daemon, life, .. }
            | StormEvent::StartReturns { daemon, life, .. }
            | StormEvent::StopReturns { daemon, life, .. }
            | StormEvent::CommitReturns { daemon, life, .. } => (*daemon, *life),
            _ => return,
        };
        if self.daemons[daemon].life != life {
            return;
        }
        if self.now < self.daemons[daemon].asleep_until {
            self.daemons[daemon].missed.push(event);
            return;
        }
        self.hand_over(daemon, event);
    }

    /// Whether a call has not come to its end before: of an answer and a timeout the
    /// first counts.
    pub(super) fn is_first_answer(&mut self, event: &StormEvent) -> bool {
        let call = match event {
            StormEvent::LookReturns {
                daemon,
                life,
                worker,
                sent,
                ..
            } => {
                format!("look {daemon} {life} {worker} {sent}")
            }
            StormEvent::StartReturns {
                daemon,
                life,
                task,
                run,
                ..
            } => {
                format!("start {daemon} {life} {task} {run}")
            }
            _ => return true,
        };
        self.answered.insert(call)
    }

    pub(super) fn hand_over(&mut self, daemon: usize, event: StormEvent) {
        if !self.is_first_answer(&event) {
            return;
        }
        let unix_ms = self.now;
        let state = &mut self.daemons[daemon];
        let now = MonoTime::from_millis(unix_ms);
        let Some(owner) = &mut state.owner else {
            return;
        };
        match event {
            StormEvent::LookReturns {
                worker,
                number,
                outcome,
                ..
            } => {
                owner.look_answered(&worker, number, outcome, now, unix_ms);
            }
            StormEvent::StartReturns {
                worker,
                task,
                run,
                outcome,
                ..
            } => {
                owner.start_answered(&worker, &task, run, outcome, now, unix_ms);
            }
            StormEvent::StopReturns {
                worker,
                task,
                run,
                outcome,
                ..
            } => {
                owner.stop_answered(&worker, &task, run, outcome, now);
            }
            StormEvent::CommitReturns { is_stored, .. } => {
                state.is_committing = false;
                if is_stored {
                    owner.batch_stored(now, unix_ms);
                } else {
                    state.owner = None;
                    state.life += 1;
                }
            }
            _ => {}
        }
    }
}
