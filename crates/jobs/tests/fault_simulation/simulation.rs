//! The simulation of one seed.

mod commits;
mod copies;
mod deliveries;
mod faults;
mod gangs;
mod kinds;
mod late_store;
mod losses;
mod owners;
mod polls;
mod recuts;
mod refusals;
mod requests;
mod restarts;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sapphirestile_core::WorkerName;
use sapphirestile_jobs::JobStanding;
use sapphirestile_jobs::TaskIdentity;

use crate::fake_gang::FakeGang;
use crate::fake_store::FakeStore;
use crate::fake_worker::FakeWorker;
use crate::restart_watch::RestartWatch;
use crate::simulated_daemon::SimulatedDaemon;
use crate::simulation_event::SimulationEvent;

const DAEMONS: usize = 3;
const WORKERS: usize = 6;
const TICK_MS: u64 = 20;
const FAULTS_END_MS: u64 = 40_000;
const END_MS: u64 = 90_000;
const TIMEOUT_MS: u64 = 900;
const OWNER_TIMEOUT_MS: u64 = 1_500;
const HEARTBEAT_MS: u64 = 450;
/// Interval at which daemons read the ownership row, in milliseconds.
const ROW_READ_MS: u64 = 400;
/// Time from the crash of a daemon to its next start, in milliseconds.
const RESTART_MS: u64 = 500;
/// Time for which an owner that was suspended cannot reach the store after it resumes, in
/// milliseconds.
const RESUME_PARTITION_MS: u64 = 12_000;
/// The case in which owners are suspended. It is not part of the case with all faults, so
/// that regression seeds still draw the same random numbers.
const SUSPENSIONS: u32 = 6;
/// The case in which workers restart before anybody notices. It is apart for the same reason.
const RESTARTS: u32 = 7;
/// The case in which a worker and the owner die together.
const JOINT_LOSSES: u32 = 8;
/// The case in which several owners in a row die within a lease, beside workers.
const OWNER_SERIES: u32 = 9;
/// The case in which the owner is cut off together with workers, and goes on.
const CUT_ZONES: u32 = 10;
/// The case in which workers respond to the first poll of a new owner and die, as it may.
const LOSSES_AFTER_POLL: u32 = 11;
/// The case in which workers restart under their names and are cut off soon after.
const RECUTS: u32 = 12;
/// The case in which tasks are members of gangs.
const GANGS: u32 = 13;
/// The case in which the store stores or responds late, and jobs are forgotten.
const LATE_STORE: u32 = 14;
/// The case in which slow runs get copies.
const COPIES: u32 = 15;
/// The case in which workers refuse starts.
const REFUSALS: u32 = 16;
/// The case in which workers restart as another kind.
const KINDS: u32 = 17;
const ATTEMPTS: u32 = 50;
/// Share of the jobs that are long-running.
const LONG_RUNNING_SHARE: f64 = 0.2;
/// Share of the jobs that are long-running, in the cases with planned losses.
const LOSSES_SHARE: f64 = 0.3;
const WORKER_CPU_MILLI: u64 = 8_000;
const TASK_CPU_MILLI: u64 = 1_000;

/// Daemons, workers and a store, driven by events in virtual time.
pub struct Simulation {
    seed: u64,
    /// Number of the case, which says which faults are injected.
    faults: u32,
    random: StdRng,
    now: u64,
    sequence: u64,
    /// Events by their time and, among those of one time, by their sequence number.
    queue: BTreeMap<(u64, u64), SimulationEvent>,
    store: FakeStore,
    daemons: Vec<SimulatedDaemon>,
    workers: Vec<FakeWorker>,
    /// Tasks whose completion was acknowledged to the worker, and when; they must never start
    /// again.
    acknowledged: BTreeMap<TaskIdentity, u64>,
    /// When the latest run of each task started.
    started: BTreeMap<TaskIdentity, u64>,
    /// Checks how soon long-running tasks run again.
    watch: RestartWatch,
    /// Number of further owners that die soon after their claims.
    doomed_owners: u32,
    /// The first worker with a long-running task that responds to an owner with a higher epoch
    /// than this dies; `None` if none does.
    fatal_after: Option<u64>,
    /// Requests that have an outcome, as text.
    finished_calls: BTreeSet<String>,
    /// The gangs with a member that runs, by any member's identity with the index 0 and the
    /// number of the run.
    gangs: BTreeMap<(TaskIdentity, u32), FakeGang>,
}

impl Simulation {
    pub fn new(seed: u64, faults: u32) -> Self {
        let random = StdRng::seed_from_u64(seed);
        let mut simulation = Self {
            seed,
            faults,
            random,
            now: 0,
            sequence: 0,
            queue: BTreeMap::new(),
            store: FakeStore::default(),
            daemons: (0..DAEMONS).map(|_| SimulatedDaemon::default()).collect(),
            workers: Vec::new(),
            acknowledged: BTreeMap::new(),
            started: BTreeMap::new(),
            watch: RestartWatch::default(),
            doomed_owners: 0,
            fatal_after: None,
            finished_calls: BTreeSet::new(),
            gangs: BTreeMap::new(),
        };
        for index in 0..WORKERS {
            simulation.add_worker(index);
        }
        for daemon in 0..DAEMONS {
            simulation.schedule(daemon as u64, SimulationEvent::Tick { daemon });
        }
        for index in 0..25 {
            simulation.schedule(index * 1_400, SimulationEvent::Submit);
            simulation.schedule(index * 1_100 + 700, SimulationEvent::Fault);
        }
        simulation.schedule(12_345, SimulationEvent::Cancel);
        if simulation.plans_losses() {
            simulation.plan_first_loss();
        }
        simulation
    }

    /// Adds the worker with this number.
    pub(super) fn add_worker(&mut self, index: usize) {
        let lag_percent = self.random.random_range(0..=2);
        let (name, address) = (worker_name(index), worker_address(index));
        self.push_worker(FakeWorker::new(name, address, lag_percent));
    }

    pub(super) fn push_worker(&mut self, mut worker: FakeWorker) {
        worker.lease_max_ms = self.lease_max_ms();
        worker.stop_ms = self.stop_ms();
        self.workers.push(worker);
    }

    /// Whether faults of this case are injected now.
    pub(super) fn injects(&self, case: u32) -> bool {
        (self.faults == case || self.faults == 5) && self.now < FAULTS_END_MS
    }

    /// Adds an event that happens `after_ms` from now.
    pub(super) fn schedule(&mut self, after_ms: u64, event: SimulationEvent) {
        self.sequence += 1;
        self.queue
            .insert((self.now + after_ms, self.sequence), event);
    }

    pub fn run(&mut self) {
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > END_MS {
                return;
            }
            self.now = at;
            for worker in &mut self.workers {
                worker.advance_time(at);
            }
            self.advance_gangs();
            self.process_event(event);
        }
    }

    /// Checks the state of every job at the end: a cancelled job has ended, every task of a
    /// long-running job is running, and any other job has completed.
    pub fn check_end(&self) {
        self.check_missed();
        for (identity, spec) in &self.store.specs {
            let progress = self.store.progress.get(identity);
            let standing = progress.map_or(JobStanding::Waiting, |progress| progress.standing);
            let expected = if self.store.cancelled.contains(identity) {
                standing.is_final()
            } else if spec.is_long_running() {
                let running = self.workers.iter().flat_map(|worker| worker.running.keys());
                let tasks = running.filter(|task| task.job == *identity).count();
                standing == JobStanding::Running && tasks == spec.steps[0].tasks as usize
            } else {
                standing == JobStanding::Completed
            };
            assert!(
                expected,
                "seed {} faults {}: job {identity} ended the simulation as {standing:?}: {progress:?}",
                self.seed, self.faults
            );
        }
    }

    fn process_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Tick { daemon } => {
                self.tick(daemon);
                self.check_restarts();
                self.schedule(TICK_MS, SimulationEvent::Tick { daemon });
            }
            SimulationEvent::Submit => self.submit(),
            SimulationEvent::Cancel => self.cancel(),
            SimulationEvent::Fault => self.inject_fault(),
            SimulationEvent::Loss(loss) => self.inject_loss(loss),
            SimulationEvent::StartArrives {
                daemon,
                incarnation,
                request,
            } => self.start(daemon, incarnation, &request),
            SimulationEvent::StopArrives {
                daemon,
                incarnation,
                request,
            } => {
                let Some(index) = self.find_reachable(daemon, &request.worker) else {
                    return;
                };
                let outcome = self.workers[index].stop(&request, self.now);
                self.send_response(SimulationEvent::StopReturns {
                    daemon,
                    incarnation,
                    worker: request.worker,
                    task: request.task,
                    run: request.run,
                    outcome,
                });
            }
            SimulationEvent::PollArrives {
                daemon,
                incarnation,
                sent,
                request,
            } => self.poll(daemon, incarnation, sent, &request),
            SimulationEvent::CommitArrives {
                daemon,
                incarnation,
                epoch,
                batch,
            } => self.commit(daemon, incarnation, epoch, batch),
            event => self.deliver(event),
        }
    }
}

/// Name of the worker with this number.
fn worker_name(index: usize) -> WorkerName {
    WorkerName::try_from(format!("w-{index}")).unwrap()
}

/// Address of the worker with this number; no two workers have the same when they start.
fn worker_address(index: usize) -> SocketAddr {
    let port = u16::try_from(index + 1).expect("there are few workers");
    SocketAddr::from(([127, 0, 0, 1], port))
}
