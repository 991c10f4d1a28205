//! Losses of workers and owners that come together.

use std::ops::Range;

use rand::Rng;
use rand::seq::IndexedRandom;
use sapphirestile_core::WorkerName;
use sapphirestile_jobs::PollOutcome;

use crate::fake_worker::FakeWorker;
use crate::planned_loss::PlannedLoss;
use crate::simulation::Simulation;
use crate::simulation_event::SimulationEvent;

use super::CUT_ZONES;
use super::END_MS;
use super::JOINT_LOSSES;
use super::LOSSES_AFTER_POLL;
use super::OWNER_SERIES;
use super::RECUTS;
use super::WORKERS;
use super::worker_name;

/// When the first series of losses begins, in milliseconds.
const FIRST_LOSS_MS: Range<u64> = 4_000..7_000;
/// Time from one series of losses to the next, in milliseconds.
const SERIES_INTERVAL_MS: Range<u64> = 14_000..20_000;
/// The same if a series takes long, in milliseconds.
const LONG_SERIES_INTERVAL_MS: Range<u64> = 28_000..34_000;
/// Time after which no series of losses begins, in milliseconds.
const SERIES_END_MS: u64 = 55_000;
/// The same if a series takes long, in milliseconds.
const LONG_SERIES_END_MS: u64 = 42_000;
/// Time from the claim of an owner to its end, in milliseconds.
const TERM_MS: Range<u64> = 1_000..4_000;
/// Time for which the entry of a dead worker stays in the list, in milliseconds.
const LISTED_MS: Range<u64> = 3_000..4_500;
/// Time from the end of an owner to the next start of its daemon, in milliseconds. It is short
/// enough that one of the daemons is up when owners die one after the other.
const RESTART_MS: Range<u64> = 500..3_000;
/// Time from the end of a worker to the start of another at its address, in milliseconds.
const NEWCOMER_MS: Range<u64> = 500..1_500;
/// Time from a response of a worker to its end, in milliseconds.
const DEATH_AFTER_POLL_MS: Range<u64> = 10..300;
/// Time for which a zone is cut off, in milliseconds.
const CUT_MS: Range<u64> = 3_000..15_000;
/// Time from the start of a series in which owners die to the first of these deaths, in
/// milliseconds, so that workers die before it too.
const FIRST_DEATH_MS: u64 = 2_000;
/// Time from the start of such a series within which workers die, in milliseconds.
const WORKER_DEATHS_MS: Range<u64> = 0..10_000;
/// Share of the dead workers that no other one replaces.
const UNREPLACED_SHARE: f64 = 0.5;
/// Number of workers beside those of the other cases.
const SPARE_WORKERS: usize = 2;
/// Number of workers that stay, so that there is room for all tasks.
const WORKERS_MIN: usize = 5;

impl Simulation {
    /// Whether the case plans losses ahead.
    pub(super) const fn plans_losses(&self) -> bool {
        matches!(
            self.faults,
            JOINT_LOSSES | OWNER_SERIES | CUT_ZONES | LOSSES_AFTER_POLL | RECUTS
        )
    }

    /// Adds workers, some of which can be lost for good, and plans the first series of losses.
    pub(super) fn plan_first_loss(&mut self) {
        for index in WORKERS..WORKERS + SPARE_WORKERS {
            self.add_worker(index);
        }
        let after_ms = self.random.random_range(FIRST_LOSS_MS);
        self.schedule_loss(after_ms, PlannedLoss::Series);
    }

    pub(super) fn inject_loss(&mut self, loss: PlannedLoss) {
        match loss {
            PlannedLoss::Series => self.begin_series(),
            PlannedLoss::Owner { epoch } => self.lose_owner(epoch),
            PlannedLoss::AnyWorker => self.lose_any_worker(),
            PlannedLoss::Cut { name } => self.cut_worker(&name),
            PlannedLoss::Restart { name } => self.restart_unnoticed(&name),
            PlannedLoss::Worker { name } => {
                let index = self.workers.iter().position(|worker| worker.name == name);
                self.lose_worker(index.expect("workers stay known"));
            }
            PlannedLoss::Newcomer { dead } => self.add_newcomer(&dead),
        }
    }

    /// Begins a series of losses, and plans the next.
    fn begin_series(&mut self) {
        match self.faults {
            JOINT_LOSSES => {
                self.lose_owner(self.store.row.epoch);
                for _ in 0..self.random.random_range(1..=2) {
                    self.lose_any_worker();
                }
            }
            OWNER_SERIES => self.begin_owner_series(),
            CUT_ZONES => self.cut_zone(),
            RECUTS => self.begin_recut(),
            LOSSES_AFTER_POLL => {
                let epoch = self.store.row.epoch;
                self.fatal_after = Some(epoch);
                self.doomed_owners = self.random.random_range(0..=3);
                self.lose_owner(epoch);
            }
            _ => return,
        }
        let (interval_ms, end_ms) = match self.faults {
            OWNER_SERIES => (LONG_SERIES_INTERVAL_MS, LONG_SERIES_END_MS),
            RECUTS => (SERIES_INTERVAL_MS, LONG_SERIES_END_MS),
            _ => (SERIES_INTERVAL_MS, SERIES_END_MS),
        };
        let after_ms = self.random.random_range(interval_ms);
        if self.now + after_ms < end_ms {
            self.schedule_loss(after_ms, PlannedLoss::Series);
        }
    }

    /// Begins a series in which two to six owners die, and one to three workers at any time.
    fn begin_owner_series(&mut self) {
        self.doomed_owners = self.random.random_range(1..=5);
        let epoch = self.store.row.epoch;
        self.schedule_loss(FIRST_DEATH_MS, PlannedLoss::Owner { epoch });
        for _ in 0..self.random.random_range(1..=3) {
            let after_ms = self.random.random_range(WORKER_DEATHS_MS);
            self.schedule_loss(after_ms, PlannedLoss::AnyWorker);
        }
    }

    /// Cuts the owner off from the store and most workers, together with some workers that
    /// only it can reach. The next owners may die.
    fn cut_zone(&mut self) {
        let Some(daemon) = self.current_owner() else {
            return;
        };
        let until = self.now + self.random.random_range(CUT_MS);
        self.daemons[daemon].partitioned_until = until;
        self.watch.disturb(until);
        for _ in 0..self.random.random_range(1..=3) {
            let Some(index) = self.choose_worker() else {
                return;
            };
            let unlisted_at = self.now + self.random.random_range(LISTED_MS);
            let worker = &mut self.workers[index];
            worker.reachable_from = Some((daemon, until));
            worker.unlisted = unlisted_at..until;
        }
        self.doomed_owners = self.random.random_range(0..=2);
    }

    /// Plans what follows a claim: the end of the owner in a series.
    pub(super) fn plan_losses_after_claim(&mut self, epoch: u64) {
        if self.doomed_owners == 0 {
            return;
        }
        self.doomed_owners -= 1;
        let after_ms = self.random.random_range(TERM_MS);
        self.schedule_loss(after_ms, PlannedLoss::Owner { epoch });
    }

    /// Plans the end of a worker with a long-running task that has responded to a new owner.
    pub(super) fn plan_loss_after_poll(&mut self, index: usize, epoch: u64, outcome: &PollOutcome) {
        let is_new = self.fatal_after.is_some_and(|before| epoch > before);
        let has_responded = matches!(outcome, PollOutcome::Responded(_));
        let worker = &self.workers[index];
        if !is_new || !has_responded || !worker.has_run_until(END_MS) {
            return;
        }
        self.fatal_after = None;
        let name = worker.name.clone();
        let after_ms = self.random.random_range(DEATH_AFTER_POLL_MS);
        self.schedule_loss(after_ms, PlannedLoss::Worker { name });
    }

    /// Ends the owner with this epoch, if it is still the owner.
    pub(super) fn lose_owner(&mut self, epoch: u64) {
        if epoch != self.store.row.epoch {
            return;
        }
        if let Some(daemon) = self.current_owner() {
            let restart_ms = self.random.random_range(RESTART_MS);
            self.daemons[daemon].crash(self.now, restart_ms);
            self.watch.disturb(self.now);
        }
    }

    fn lose_any_worker(&mut self) {
        if let Some(index) = self.choose_worker() {
            self.lose_worker(index);
        }
    }

    /// Ends a worker for good. If there are few others, another one replaces it soon.
    fn lose_worker(&mut self, index: usize) {
        let listed_ms = self.random.random_range(LISTED_MS);
        let worker = &mut self.workers[index];
        if !worker.is_up(self.now) {
            return;
        }
        worker.die(self.now, listed_ms);
        let dead = worker.name.clone();
        self.watch.disturb(self.now);
        let is_up = |worker: &&FakeWorker| worker.is_up(self.now);
        let left = self.workers.iter().filter(is_up).count();
        if left >= WORKERS_MIN && self.random.random_bool(UNREPLACED_SHARE) {
            return;
        }
        let after_ms = self.random.random_range(NEWCOMER_MS);
        self.watch.disturb(self.now + after_ms);
        self.schedule_loss(after_ms, PlannedLoss::Newcomer { dead });
    }

    /// Starts a worker with another name at the address of a dead one.
    fn add_newcomer(&mut self, dead: &WorkerName) {
        let name = worker_name(self.workers.len());
        let mut workers = self.workers.iter();
        let dead = workers.find(|worker| worker.name == *dead);
        let address = dead.expect("workers stay known").address;
        let lag_percent = self.random.random_range(0..=2);
        let mut newcomer = FakeWorker::new(name, address, lag_percent);
        newcomer.started_at = self.now;
        self.push_worker(newcomer);
    }

    /// Daemon whose owner has the latest epoch.
    fn current_owner(&self) -> Option<usize> {
        let epoch = self.store.row.epoch;
        self.daemons.iter().position(|state| {
            let owner = state.owner.as_ref();
            owner.is_some_and(|owner| owner.epoch().get() == epoch)
        })
    }

    /// Chooses a worker that is up, one with a long-running task if there is any.
    fn choose_worker(&mut self) -> Option<usize> {
        let indices = 0..self.workers.len();
        let up: Vec<usize> = indices
            .filter(|index| self.workers[*index].is_up(self.now))
            .collect();
        let lasting: Vec<usize> = up
            .iter()
            .copied()
            .filter(|index| self.workers[*index].has_run_until(END_MS))
            .collect();
        let chosen = if lasting.is_empty() { &up } else { &lasting };
        chosen.choose(&mut self.random).copied()
    }

    pub(super) fn schedule_loss(&mut self, after_ms: u64, loss: PlannedLoss) {
        self.schedule(after_ms, SimulationEvent::Loss(loss));
    }
}
