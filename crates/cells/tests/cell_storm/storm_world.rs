//! The whole system in virtual time.

mod deliver_events;
mod draw_faults;
mod keep_cells;
mod send_messages;
mod settle_commits;
mod submit_work;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::event_queue::EventQueue;
use crate::fake_store::FakeStore;
use crate::fake_worker::FakeWorker;
use crate::fault_counts::FaultCounts;
use crate::run_ledger::RunLedger;
use crate::storm_daemon::StormDaemon;
use sapphirestile_cells::JobOrder;
use sapphirestile_cells::TaskEntry;
use sapphirestile_cells::TaskOutcome;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;

const TICK_MS: u64 = 50;
const CALM_MS: u64 = 600_000;
pub const DAEMONS: usize = 3;
const WORKERS_FEWEST: usize = 2;
const ZONES: usize = 2;
const WORKER_SIZE: ResourceSize = ResourceSize {
    cpu_milli: 8_000,
    memory_mb: 32_000,
    accelerators: 0,
};

/// Daemons, store, workers, network and operators.
pub struct StormWorld {
    seed: u64,
    rng: SmallRng,
    now: MonoTime,
    queue: EventQueue,
    store: FakeStore,
    workers: Vec<FakeWorker>,
    workers_named: usize,
    daemons: Vec<StormDaemon>,
    /// Which zones are out, by revision of the configuration.
    zones: Vec<[bool; ZONES]>,
    out_since: [Option<MonoTime>; ZONES],
    outage_until: MonoTime,
    zone_change_at: Option<MonoTime>,
    ledger: RunLedger,
    counts: FaultCounts,
    stormy: bool,
    /// Jobs whose submitter has not been told that they are recorded.
    open_jobs: Vec<JobOrder>,
    jobs_named: u64,
}

impl StormWorld {
    pub fn new(seed: u64) -> Self {
        let mut world = Self {
            seed,
            rng: SmallRng::seed_from_u64(seed),
            now: MonoTime::from_millis(100_000),
            queue: EventQueue::default(),
            store: FakeStore::default(),
            workers: Vec::new(),
            workers_named: 0,
            daemons: (0..DAEMONS).map(StormDaemon::new).collect(),
            zones: vec![[false; ZONES]],
            out_since: [None; ZONES],
            outage_until: MonoTime::default(),
            zone_change_at: None,
            ledger: RunLedger::default(),
            counts: FaultCounts::default(),
            stormy: true,
            open_jobs: Vec::new(),
            jobs_named: 0,
        };
        for zone in (0..ZONES).cycle().take(workers_of(seed)) {
            world.add_worker(zone);
        }
        world
    }

    pub const fn counts(&self) -> &FaultCounts {
        &self.counts
    }

    /// Lets `storm_ms` pass with faults.
    pub fn storm(&mut self, storm_ms: u64) {
        let end = self.now.plus_millis(storm_ms);
        while self.now < end {
            self.tick();
        }
    }

    /// Ends every fault and lets all work come to its end.
    pub fn calm(&mut self) {
        self.stormy = false;
        self.outage_until = self.now;
        for daemon in &mut self.daemons {
            daemon.frozen_until = self.now;
            daemon.dead_until = self.now;
        }
        for worker in &mut self.workers {
            worker.cut_until = [self.now; DAEMONS];
        }
        self.change_zones([false; ZONES]);
        let end = self.now.plus_millis(CALM_MS);
        while !self.is_done() {
            assert!(
                self.now < end,
                "seed {}: work is stuck: {:?} {:?}",
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
        if self.stormy {
            self.draw_faults();
        }
        self.store.down = self.now < self.outage_until;
        self.submit_work();
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
            let (finished, lapsed) = worker.pass(self.now, TICK_MS);
            self.counts.finished += finished;
            self.counts.lapses += lapsed;
            for held in &worker.tasks {
                self.ledger.note_progress(&held.task, held.done_ms);
            }
        }
        self.check_places();
    }

    /// No task runs on two workers.
    fn check_places(&self) {
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

    /// Every job that was not cancelled has finished every task.
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
        let name = format!("worker-{}", self.workers_named);
        let name = WorkerName::try_from(name.as_str()).expect("the name fits");
        self.workers_named += 1;
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

/// From two workers, which get the same tasks again and again, to six.
const fn workers_of(seed: u64) -> usize {
    match seed % 3 {
        0 => WORKERS_FEWEST,
        1 => WORKERS_FEWEST + ZONES,
        _ => WORKERS_FEWEST + 2 * ZONES,
    }
}
