//! The simulation of one seed.

mod deliveries;
mod faults;
mod jobs;
mod owners;
mod reports;
mod restart_check;
mod returning_workers;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sapphirestile_core::WorkerName;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::TaskIdentity;

use crate::cell_rows::CellRows;
use crate::fake_worker::FakeWorker;
use crate::shared_store::SharedStore;
use crate::simulated_cell::SimulatedCell;
use crate::simulation_event::SimulationEvent;
use crate::task_mixture::TaskMixture;

const WORKERS_PER_CELL: usize = 4;
const TICK_MS: u64 = 20;
const FAULT_INTERVAL_MS: u64 = 900;
const FAULTS_END_MS: u64 = 40_000;
const END_MS: u64 = 70_000;
/// End of a simulation in which workers come back, in milliseconds.
const RETURN_END_MS: u64 = 34_000;
const TIMEOUT_MS: u64 = 900;
/// Time from the death of an owner to the claim of the next, in milliseconds.
const CLAIM_MS: u64 = 1_900;
const HEARTBEAT_MS: u64 = 450;
const VIEW_MS: u64 = 400;
/// Longest time for which a long-running task may be idle, in milliseconds.
const IDLE_MAX_MS: u64 = 9_000;
const WORKER_CPU_MILLI: u64 = 8_000;

/// Cells with their owners, workers and a store, driven by events in virtual time.
pub struct CellSimulation {
    seed: u64,
    faults: u32,
    mixture: TaskMixture,
    random: StdRng,
    now: u64,
    sequence: u64,
    /// Events by their time and, among those of one time, by their sequence number.
    queue: BTreeMap<(u64, u64), SimulationEvent>,
    store: SharedStore,
    cells: Vec<SimulatedCell>,
    /// Workers, those of cell 0 first.
    workers: Vec<FakeWorker>,
    /// Workers that leave.
    leaving: BTreeSet<usize>,
    /// Numbers of the requests that have an outcome.
    finished_calls: BTreeSet<u64>,
    /// When each task that has run was last seen to run, or when its job arrived later.
    last_seen: BTreeMap<TaskIdentity, u64>,
    /// Since when a worker, by its index, has had room for a task that is idle.
    room_since: BTreeMap<(TaskIdentity, usize), u64>,
    /// When something failed last other than by the end of a run or a worker that leaves.
    disturbed: u64,
    /// Longest time for which an idle task had room on one worker, in milliseconds.
    longest_search_ms: u64,
    /// Number of short jobs so far.
    short_jobs: usize,
    /// Number of long-running jobs so far that arrived later.
    late_jobs: usize,
}

impl CellSimulation {
    pub fn new(seed: u64, faults: u32) -> Self {
        Self::of(seed, faults, TaskMixture::EQUAL)
    }

    /// A simulation in which no requests are late or lost, and workers do not change at random.
    pub fn with_mixture(seed: u64, mixture: TaskMixture) -> Self {
        Self::of(seed, 0, mixture)
    }

    fn of(seed: u64, faults: u32, mixture: TaskMixture) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let workers = (0..mixture.cells * WORKERS_PER_CELL).map(|index| {
            let port = u16::try_from(index + 1).unwrap();
            let address = std::net::SocketAddr::from(([127, 0, 0, 1], port));
            FakeWorker::new(worker_name(index), address, random.random_range(0..=2))
        });
        let workers = workers.collect();
        let mut simulation = Self {
            seed,
            faults,
            mixture,
            random,
            now: 0,
            sequence: 0,
            queue: BTreeMap::new(),
            store: SharedStore {
                cells: vec![CellRows::default(); mixture.cells],
                delegations: 0,
            },
            cells: (0..mixture.cells)
                .map(|_| SimulatedCell::default())
                .collect(),
            workers,
            leaving: BTreeSet::new(),
            finished_calls: BTreeSet::new(),
            last_seen: BTreeMap::new(),
            room_since: BTreeMap::new(),
            disturbed: 0,
            longest_search_ms: 0,
            short_jobs: 0,
            late_jobs: 0,
        };
        for number in 0..mixture.jobs {
            let cell = if mixture.has_ending_runs || mixture.has_returning_workers {
                number % mixture.cells
            } else {
                usize::from(number % 4 == 3)
            };
            let spec = simulation.job_spec(number);
            let rows = &mut simulation.store.cells[cell];
            rows.specs.insert(job_identity(number), spec);
        }
        simulation.schedule(0, SimulationEvent::Tick);
        simulation.schedule(FAULT_INTERVAL_MS, SimulationEvent::Fault);
        simulation
    }

    /// Whether faults of this case are injected now.
    fn injects(&self, case: u32) -> bool {
        (self.faults == case || self.faults == 4) && self.now < FAULTS_END_MS
    }

    fn schedule(&mut self, after_ms: u64, event: SimulationEvent) {
        self.sequence += 1;
        self.queue
            .insert((self.now + after_ms, self.sequence), event);
    }

    pub fn run(&mut self) {
        let end_ms = if self.mixture.has_returning_workers {
            RETURN_END_MS
        } else {
            END_MS
        };
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > end_ms {
                return;
            }
            self.now = at;
            for worker in &mut self.workers {
                worker.advance_time(at);
            }
            match event {
                SimulationEvent::Tick => {
                    for cell in 0..self.mixture.cells {
                        self.tick(cell);
                    }
                    if self.mixture.has_returning_workers {
                        self.bring_workers_back();
                        self.check_searches();
                        self.accept_short_job();
                    } else if self.mixture.has_ending_runs {
                        self.check_restarts();
                        self.accept_short_job();
                        self.accept_late_job();
                    } else {
                        self.check_idle_tasks();
                    }
                    self.schedule(TICK_MS, SimulationEvent::Tick);
                }
                SimulationEvent::Fault => self.inject_fault(),
                event => self.deliver(event),
            }
        }
    }

    /// Checks that every task runs once, and none of a cancelled job.
    pub fn check_end(&self) {
        for rows in &self.store.cells {
            for (job, spec) in &rows.specs {
                let is_cancelled = rows.cancelled.contains(job);
                for index in 0..spec.steps[0].tasks {
                    let task = TaskIdentity {
                        job: *job,
                        occurrence: 0,
                        step: 0,
                        index,
                    };
                    let runs = self.runs_of(&task);
                    assert_eq!(
                        runs,
                        usize::from(!is_cancelled),
                        "seed {} faults {}: runs of {task}: {:?}",
                        self.seed,
                        self.faults,
                        rows.progress[job].task(&task),
                    );
                }
            }
        }
        let delegations = self.store.delegations;
        assert!(delegations > 0, "seed {}: nothing was delegated", self.seed);
    }

    /// Checks that tasks which have run are not idle for too long while nothing but workers
    /// fails.
    fn check_idle_tasks(&mut self) {
        if self.faults != 0 {
            return;
        }
        let running = self.workers.iter().flat_map(|worker| worker.running.keys());
        let running: BTreeSet<TaskIdentity> = running.copied().collect();
        let now = self.now;
        for task in &running {
            self.last_seen.insert(*task, now);
        }
        for (task, since) in &self.last_seen {
            let idle_ms = now - since;
            assert!(
                idle_ms <= IDLE_MAX_MS,
                "seed {}: {task} is idle for {idle_ms} ms at {now}",
                self.seed
            );
        }
    }

    /// Number of workers that run a task.
    fn runs_of(&self, task: &TaskIdentity) -> usize {
        let running = |worker: &&FakeWorker| worker.running.contains_key(task);
        self.workers.iter().filter(running).count()
    }
}

fn worker_name(index: usize) -> WorkerName {
    WorkerName::try_from(format!("w-{index}")).unwrap()
}

fn job_identity(number: usize) -> JobIdentity {
    JobIdentity::try_from(&*format!("{number:016x}")).unwrap()
}

/// Labels of a worker, the rack last.
fn worker_labels(index: usize) -> Vec<Box<str>> {
    let kind = if index % WORKERS_PER_CELL == WORKERS_PER_CELL - 1 {
        "large"
    } else {
        "small"
    };
    vec![kind.into(), "r1".into()]
}
