//! The simulated cluster in virtual time.

mod deliver_events;
mod inject_faults;
mod run_owners;
mod send_messages;
mod send_requests;
mod settle_commits;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::event_queue::EventQueue;
use crate::fake_store::FakeStore;
use crate::fake_worker::FakeWorker;
use crate::fault_counts::FaultCounts;
use crate::invariant_checker::InvariantChecker;
use crate::simulated_daemon::SimulatedDaemon;
use sapphirestile_cells::ArraySpec;
use sapphirestile_cells::TaskEntry;
use sapphirestile_cells::TaskOutcome;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;

const TICK_MS: u64 = 50;
const RECOVERY_MS: u64 = 600_000;
pub const DAEMONS: usize = 3;
const WORKERS_MIN: usize = 2;
const ZONES: usize = 2;
const WORKER_SIZE: ResourceSize = ResourceSize {
    cpu_milli: 8_000,
    memory_mb: 32_000,
    accelerators: 0,
};

/// Daemons, store, workers, network and operators.
pub struct SimulatedCluster {
    seed: u64,
    rng: SmallRng,
    now: MonoTime,
    queue: EventQueue,
    store: FakeStore,
    workers: Vec<FakeWorker>,
    workers_created: usize,
    daemons: Vec<SimulatedDaemon>,
    /// Which zones are taken out, by revision of the configuration.
    zones: Vec<[bool; ZONES]>,
    out_since: [Option<MonoTime>; ZONES],
    outage_until: MonoTime,
    zone_change_at: Option<MonoTime>,
    invariants: InvariantChecker,
    counts: FaultCounts,
    injects_faults: bool,
    /// Jobs whose submission has not been acknowledged.
    open_jobs: Vec<ArraySpec>,
    jobs_created: u64,
}

impl SimulatedCluster {
    pub fn new(seed: u64) -> Self {
        let mut cluster = Self {
            seed,
            rng: SmallRng::seed_from_u64(seed),
            now: MonoTime::from_millis(100_000),
            queue: EventQueue::default(),
            store: FakeStore::default(),
            workers: Vec::new(),
            workers_created: 0,
            daemons: (0..DAEMONS).map(SimulatedDaemon::new).collect(),
            zones: vec![[false; ZONES]],
            out_since: [None; ZONES],
            outage_until: MonoTime::default(),
            zone_change_at: None,
            invariants: InvariantChecker::default(),
            counts: FaultCounts::default(),
            injects_faults: true,
            open_jobs: Vec::new(),
            jobs_created: 0,
        };
        for zone in (0..ZONES).cycle().take(workers_of(seed)) {
            cluster.add_worker(zone);
        }
        cluster
    }

    pub const fn counts(&self) -> &FaultCounts {
        &self.counts
    }

    /// Runs for `duration_ms` with faults.
    pub fn run_with_faults(&mut self, duration_ms: u64) {
        let end = self.now.plus_millis(duration_ms);
        while self.now < end {
            self.tick();
        }
    }

    /// Ends all faults and runs until all work has ended.
    pub fn run_without_faults(&mut self) {
        self.injects_faults = false;
        self.outage_until = self.now;
        for daemon in &mut self.daemons {
            daemon.frozen_until = self.now;
            daemon.dead_until = self.now;
        }
        for worker in &mut self.workers {
            worker.unreachable_until = [self.now; DAEMONS];
        }
        self.change_zones([false; ZONES]);
        let end = self.now.plus_millis(RECOVERY_MS);
        while !self.is_done() {
            assert!(
                self.now < end,
                "seed {}: work did not end in time: jobs {:?}, tasks {:?}",
                self.seed,
                self.open_jobs,
                self.open_tasks()
            );
            self.tick();
        }
        self.check_ends();
    }

    fn tick(&mut self) {
        self.now = self.now.plus_millis(TICK_MS);
        if self.injects_faults {
            self.inject_faults();
        }
        self.store.down = self.now < self.outage_until;
        self.send_requests();
        while let Some(event) = self.queue.pop_due(self.now) {
            self.deliver(event);
        }
        self.run_workers();
        for daemon in 0..DAEMONS {
            if self.daemons[daemon].acts(self.now) {
                self.run_daemon(daemon);
            }
        }
    }

    fn run_workers(&mut self) {
        for worker in &mut self.workers {
            let (finished, expired) = worker.advance(self.now, TICK_MS);
            self.counts.finished += finished;
            self.counts.lapses += expired;
            for held in &worker.tasks {
                self.invariants
                    .record_progress(&held.task, held.progress_ms);
            }
        }
        self.check_single_runs();
    }

    /// Checks that no task runs on two workers.
    fn check_single_runs(&self) {
        let held = self.workers.iter().flat_map(|worker| &worker.tasks);
        let mut running: Vec<_> = held.filter(|held| held.runs()).collect();
        running.sort_by(|one, other| one.task.cmp(&other.task));
        for pair in running.windows(2) {
            assert_ne!(
                pair[0].task, pair[1].task,
                "seed {}: a task runs twice",
                self.seed
            );
        }
    }

    fn is_done(&self) -> bool {
        let state = self.store.state();
        let open = state.jobs().values().any(|job| job.open_tasks > 0);
        self.open_jobs.is_empty() && !open
    }

    fn open_tasks(&self) -> Vec<(TaskName, TaskEntry)> {
        let state = self.store.state();
        let tasks = state.tasks().iter();
        tasks
            .filter(|(_, entry)| !matches!(entry, TaskEntry::Ended(_)))
            .map(|(task, entry)| (task.clone(), entry.clone()))
            .collect()
    }

    /// Checks that every job that was not cancelled has finished every task.
    fn check_ends(&self) {
        let state = self.store.state();
        for (task, entry) in state.tasks().iter() {
            let job = state
                .jobs()
                .get(&task.job)
                .expect("a task belongs to a job");
            let TaskEntry::Ended(cycle) = entry else {
                panic!("seed {}: {task} has not ended", self.seed);
            };
            let finished = cycle.phase().outcome == TaskOutcome::Finished;
            assert!(
                finished || job.cancelled,
                "seed {}: {task} ended as {:?}",
                self.seed,
                cycle.phase().outcome
            );
        }
    }

    fn add_worker(&mut self, zone: usize) {
        let name = format!("worker-{}", self.workers_created);
        let name = WorkerName::try_from(name.as_str()).expect("the name fits");
        self.workers_created += 1;
        self.workers.push(FakeWorker::new(name, zone, WORKER_SIZE));
    }

    fn change_zones(&mut self, out: [bool; ZONES]) {
        self.zones.push(out);
        self.store.config = self.zones.len() - 1;
        for (since, is_out) in self.out_since.iter_mut().zip(out) {
            *since = if is_out {
                since.or(Some(self.now))
            } else {
                None
            };
        }
    }
}

/// The number of workers of a run: two, four or six. With two, a task often returns to a
/// worker that ran it before.
const fn workers_of(seed: u64) -> usize {
    match seed % 3 {
        0 => WORKERS_MIN,
        1 => WORKERS_MIN + ZONES,
        _ => WORKERS_MIN + 2 * ZONES,
    }
}
