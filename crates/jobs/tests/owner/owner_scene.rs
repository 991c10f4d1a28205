//! An owner with workers that a test speaks for.

use std::sync::Arc;

use sapphirestile_core::CellEpoch;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;
use sapphirestile_core::WorkerName;
use sapphirestile_jobs::AdviceOrder;
use sapphirestile_jobs::CommitBatch;
use sapphirestile_jobs::EndedRun;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobOrder;
use sapphirestile_jobs::JobOwner;
use sapphirestile_jobs::LookAnswer;
use sapphirestile_jobs::LookOutcome;
use sapphirestile_jobs::OwnerEffect;
use sapphirestile_jobs::OwnerLimits;
use sapphirestile_jobs::RunningRun;
use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::StopOutcome;
use sapphirestile_jobs::WorkerEntry;

use crate::scene_parts::address;
use crate::scene_parts::config;
use crate::scene_parts::name;

pub const LEASE_MS: u64 = 5_000;
pub const LEASE_MAX_MS: u64 = 6_000;
pub const AUTHORITY_MS: u64 = 12_000;

/// An owner, the time, and what it did as lines of text.
pub struct OwnerScene {
    pub owner: JobOwner,
    pub now: u64,
    /// The latest question to the advisor.
    pub question: Option<AdviceOrder>,
    looks: SortedTable<WorkerName, u64>,
}

impl OwnerScene {
    /// An owner that has just claimed, with idle workers that have answered it.
    pub fn with_workers(entries: Vec<WorkerEntry>) -> Self {
        let mut scene = Self::claimed(entries);
        for name in scene.worker_names() {
            scene.answer(&name, &[], &[]);
        }
        scene
    }

    /// An owner that has just claimed, and has seen no worker.
    pub fn claimed(entries: Vec<WorkerEntry>) -> Self {
        let now = 1_000;
        let limits = OwnerLimits {
            lease_ms: LEASE_MS,
            lease_max_ms: LEASE_MAX_MS,
            authority_ms: AUTHORITY_MS,
            remember_ms: 60_000,
        };
        let claimed = MonoTime::from_millis(now);
        let config = Arc::new(config(1));
        let mut owner = JobOwner::new(CellEpoch::new(7), limits, config, Vec::new(), claimed);
        owner.replace_list(entries, claimed);
        let looks = SortedTable::new();
        let mut scene = Self {
            owner,
            now,
            question: None,
            looks,
        };
        scene.step();
        scene
    }

    fn worker_names(&self) -> Vec<String> {
        let names = self.owner.workers().map(|(name, _)| name.to_string());
        names.collect()
    }

    pub fn time(&self) -> MonoTime {
        MonoTime::from_millis(self.now)
    }

    pub fn wait(&mut self, milliseconds: u64) -> Vec<String> {
        self.now += milliseconds;
        self.owner.pass_time(self.time(), self.now);
        self.step()
    }

    pub fn accept(&mut self, job: &str, order: JobOrder) {
        let identity = JobIdentity::try_from(job).unwrap();
        let now = self.time();
        self.owner.accept_job(identity, order, now, self.now);
    }

    pub fn cancel(&mut self, job: &str) {
        let identity = JobIdentity::try_from(job).unwrap();
        let now = self.time();
        self.owner.cancel_job(identity, now);
    }

    /// Plans, looks and takes effects; looks are noted and left out of the lines.
    pub fn step(&mut self) -> Vec<String> {
        let now = self.time();
        self.owner.plan_starts(now, self.now);
        self.owner.look_at_due(now);
        let mut lines = Vec::new();
        for effect in self.owner.take_effects() {
            match effect {
                OwnerEffect::Look(order) => {
                    self.looks.insert(order.worker, order.number);
                }
                OwnerEffect::Start(order) => {
                    let shown = if order.ticket.is_empty() {
                        String::new()
                    } else {
                        format!(" with {}", order.ticket)
                    };
                    lines.push(format!(
                        "start {}#{} at {}{shown}",
                        order.task, order.run, order.worker
                    ));
                }
                OwnerEffect::Stop(order) => {
                    lines.push(format!(
                        "stop {}#{} at {}",
                        order.task, order.run, order.worker
                    ));
                }
                OwnerEffect::Pace(order) => {
                    lines.push(format!(
                        "pace {}#{} {}",
                        order.task, order.run, order.percent
                    ));
                }
                OwnerEffect::Advise(order) => {
                    let names: Vec<&str> = order.workers.iter().map(WorkerName::as_str).collect();
                    lines.push(format!("ask {} about {}", order.step, names.join(" ")));
                    self.question = Some(order);
                }
                OwnerEffect::Forget { worker, .. } => lines.push(format!("forget {worker}")),
            }
        }
        lines
    }

    pub fn batch(&mut self) -> Option<CommitBatch> {
        let now = self.time();
        self.owner.take_batch(false, now)
    }

    /// Stores what there is to store; what it lets out.
    pub fn store(&mut self) -> Vec<String> {
        self.batch().expect("there is something to store");
        let now = self.time();
        self.owner.batch_stored(now, self.now);
        self.step()
    }

    pub fn started(&mut self, worker: &str, task: &str, run: u32, outcome: StartOutcome) {
        let (worker, task) = (name(worker), address(task));
        let now = self.time();
        self.owner
            .start_answered(&worker, &task, run, outcome, now, self.now);
    }

    pub fn stopped(&mut self, worker: &str, task: &str, run: u32, outcome: StopOutcome) {
        let (worker, task) = (name(worker), address(task));
        let now = self.time();
        self.owner.stop_answered(&worker, &task, run, outcome, now);
    }

    /// The worker answers its latest look.
    pub fn answer(&mut self, worker: &str, running: &[RunningRun], ended: &[EndedRun]) {
        self.answer_in_life(worker, 1, running, ended);
    }

    pub fn answer_in_life(
        &mut self,
        worker: &str,
        life: u64,
        running: &[RunningRun],
        ended: &[EndedRun],
    ) {
        let answer = LookAnswer {
            clock_ms: self.now,
            life_unix_ms: life,
            running: running.to_vec(),
            ended: ended.to_vec(),
        };
        self.look_comes_back(worker, LookOutcome::Seen(answer));
    }

    pub fn look_comes_back(&mut self, worker: &str, outcome: LookOutcome) {
        let worker = name(worker);
        let number = self.looks.get(&worker).copied().unwrap_or(0);
        let now = self.time();
        self.owner
            .look_answered(&worker, number, outcome, now, self.now);
    }

    /// The latest look of a worker, by its number.
    pub fn look_of(&self, worker: &str) -> u64 {
        self.looks.get(&name(worker)).copied().unwrap_or(0)
    }
}
