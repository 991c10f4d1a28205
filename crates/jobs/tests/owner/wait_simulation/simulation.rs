//! An owner, its workers and its callers in virtual time.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sapphirestile_jobs::EndKind;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobPlace;
use sapphirestile_jobs::JobSpec;
use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::StepSpec;
use sapphirestile_jobs::StoredJob;

use crate::owner_fixture::OwnerFixture;
use crate::test_values::STOP_ACCEPTED;
use crate::test_values::accepted_at;
use crate::test_values::step;
use crate::test_values::task_identity;
use crate::test_values::worker;
use crate::wait_simulation::claimed_owner::claim;
use crate::wait_simulation::simulated_job::SimulatedJob;
use crate::wait_simulation::simulated_run::SimulatedRun;
use crate::wait_simulation::simulated_worker::SimulatedWorker;
use crate::wait_simulation::simulated_worker::TARGET_MS;
use crate::wait_simulation::wait_case::WaitCase;

/// Time from the end of the traffic until every job has something running, in milliseconds.
const BEGUN_AFTER_MS: u64 = 8_000;

/// Longest time with nothing running from then on, in milliseconds.
const IDLE_MAX_MS: u64 = 3_000;

/// Longest time for which a serving run is over its target because of others, in milliseconds.
/// The limit of the platform is twice that.
const HARMED_MAX_MS: u64 = 2_000;

const TRAFFIC_START: u64 = 100_000;
const TRAFFIC_END: u64 = TRAFFIC_START + 10_000;
const PLAYED_UNTIL: u64 = TRAFFIC_END + 25_000;
const TICK_MS: u64 = 250;
/// Time for which the cell has no owner between two, in milliseconds.
const OWNERLESS_MS: u64 = 1_500;

/// An owner, its workers and its callers in virtual time.
pub struct WaitSimulation {
    case: WaitCase,
    /// The case and the seed, for messages.
    label: String,
    random: StdRng,
    fixture: OwnerFixture,
    workers: Vec<SimulatedWorker>,
    jobs: Vec<SimulatedJob>,
    /// When owners end, in milliseconds.
    owner_ends: Vec<u64>,
    /// Load that a best-effort run is expected to add for each processor.
    expected_load: f64,
}

impl WaitSimulation {
    pub fn new(case: WaitCase, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let (expected_load, added_load) = case.loads(&mut random);
        let count = random.random_range(4..=8);
        let workers = (0..count).map(|number| worker(&format!("w-{number}"), 8_000));
        let workers: Vec<SimulatedWorker> = workers
            .map(|entry| SimulatedWorker::new(entry, added_load))
            .collect();
        let first_end = random.random_range(TRAFFIC_END - 5_000..TRAFFIC_END);
        let owner_ends = (0..case.owners_that_end()).map(|number| first_end + 2_500 * number);
        let mut simulation = Self {
            case,
            label: format!("{case:?}, seed {seed}"),
            fixture: claim(TRAFFIC_START - 5_000, &workers, expected_load),
            workers,
            jobs: Vec::new(),
            owner_ends: owner_ends.collect(),
            expected_load,
            random,
        };
        simulation.add_jobs();
        simulation
    }

    /// Plays until long after the traffic, and checks how long jobs wait.
    pub fn play(&mut self) {
        while self.fixture.now < PLAYED_UNTIL {
            if self
                .owner_ends
                .first()
                .is_some_and(|at| *at <= self.fixture.now)
            {
                self.owner_ends.remove(0);
                self.replace_owner();
            }
            self.tick();
            self.check_waits();
            self.check_harm();
        }
        self.check_ends();
    }

    fn add_jobs(&mut self) {
        let count = self.workers.len();
        let serving = StepSpec {
            is_long_running: true,
            latency_target_ms: Some(TARGET_MS),
            per_worker_max: Some(1),
            image: Some("desk".into()),
            ..step(u32::try_from(count).unwrap(), 2_000)
        };
        self.add_job(accepted_at(self.fixture.now, vec![serving]), 0);
        for _ in 0..self.case.jobs(count) {
            let accepted = self.random.random_range(TRAFFIC_START..TRAFFIC_END);
            let spec = self.case.job(accepted, count, &mut self.random);
            let delay_ms = self.case.delay_ms(TRAFFIC_END - accepted, &mut self.random);
            self.add_job(spec, delay_ms);
        }
        let mut accepted = TRAFFIC_START;
        while accepted < TRAFFIC_END {
            let mut short = step(1, 6_000);
            short.estimate_ms = self.random.random_range(500..1_500);
            self.add_job(accepted_at(accepted, vec![short]), 0);
            accepted += self.random.random_range(100..600);
        }
    }

    fn add_job(&mut self, spec: JobSpec, delay_ms: u64) {
        let identity = JobIdentity::try_from(&*format!("{:016x}", self.jobs.len())).unwrap();
        self.jobs.push(SimulatedJob::new(identity, spec, delay_ms));
    }

    fn tick(&mut self) {
        self.advance_workers(TICK_MS);
        let lines = self.fixture.wait(TICK_MS);
        self.carry_out(lines);
        self.bring_jobs();
        self.answer_polls();
        loop {
            let lines = self.fixture.step_and_store();
            if lines.is_empty() {
                return;
            }
            self.carry_out(lines);
        }
    }

    fn advance_workers(&mut self, milliseconds: u64) {
        for (index, worker) in self.workers.iter_mut().enumerate() {
            worker.own_load = self.case.own_load(index, &mut self.random);
            worker.advance(milliseconds);
        }
    }

    fn bring_jobs(&mut self) {
        let now = self.fixture.now;
        for job in &mut self.jobs {
            if !job.has_arrived && job.arrives <= now {
                job.has_arrived = true;
                let name = job.identity.to_string();
                self.fixture.accept(&name, job.spec.clone());
            }
        }
    }

    fn answer_polls(&mut self) {
        for worker in &self.workers {
            let (running, ended) = worker.response();
            self.fixture.answer(&worker.name(), &running, &ended);
        }
    }

    fn carry_out(&mut self, lines: Vec<String>) {
        for line in lines {
            let (order, rest) = line.split_once(' ').unwrap();
            let Some((task, rest)) = rest.split_once('#') else {
                continue;
            };
            let (run, rest) = rest.split_once(' ').unwrap();
            let run: u32 = run.parse().unwrap();
            match order {
                "start" => self.start(rest, task, run),
                "stop" => self.stop(rest, task, run),
                "pace" => self.set_pace(task, rest),
                _ => {}
            }
        }
    }

    fn start(&mut self, place: &str, task: &str, run: u32) {
        let name = place.strip_prefix("at ").unwrap();
        let step = self.step_of(task);
        let simulated = SimulatedRun {
            task: task.to_owned(),
            run,
            pace_percent: 100,
            left_ms: step.estimate_ms,
            step,
        };
        self.worker_mut(name).runs.push(simulated);
        self.fixture
            .started(name, task, run, StartOutcome::Accepted);
    }

    fn stop(&mut self, place: &str, task: &str, run: u32) {
        let name = place.strip_prefix("at ").unwrap();
        let worker = self.worker_mut(name);
        if let Some(index) = worker.position(task) {
            worker.end(index, EndKind::Stopped);
        }
        self.fixture.stopped(name, task, run, STOP_ACCEPTED);
    }

    fn set_pace(&mut self, task: &str, percent: &str) {
        let mut runs = self.workers.iter_mut().flat_map(|worker| &mut worker.runs);
        if let Some(run) = runs.find(|run| run.task == task) {
            run.pace_percent = percent.parse().unwrap();
        }
    }

    fn step_of(&self, task: &str) -> StepSpec {
        let task = task_identity(task);
        let job = self.jobs.iter().find(|job| job.identity == task.job);
        job.unwrap().spec.steps[task.step as usize].clone()
    }

    fn worker_mut(&mut self, name: &str) -> &mut SimulatedWorker {
        let mut workers = self.workers.iter_mut();
        workers.find(|worker| worker.name() == name).unwrap()
    }

    /// The owner ends, and another one claims the cell after a while.
    fn replace_owner(&mut self) {
        self.advance_workers(OWNERLESS_MS);
        let now = self.fixture.now + OWNERLESS_MS;
        let mut fixture = claim(now, &self.workers, self.expected_load);
        for job in self.jobs.iter().filter(|job| job.has_arrived) {
            let progress = self.fixture.stored_progress(&job.identity).cloned();
            let stored = StoredJob {
                identity: job.identity,
                spec: job.spec.clone(),
                progress: progress.clone(),
                place: JobPlace::Home,
                is_cancelled: false,
            };
            let time = fixture.time();
            fixture.owner.restore_job(stored, time, now);
            fixture.restore_progress(job.identity, progress);
        }
        self.fixture = fixture;
    }

    /// Checks that all jobs but the first, which serves callers, have ended.
    fn check_ends(&self) {
        for job in &self.jobs[1..] {
            let progress = self.fixture.stored_progress(&job.identity);
            assert!(
                progress.is_some_and(|progress| progress.standing.is_final()),
                "{}: {} has not ended",
                self.label,
                job.identity
            );
        }
    }

    fn check_harm(&self) {
        for worker in &self.workers {
            assert!(
                worker.harmed_ms <= HARMED_MAX_MS,
                "{}: {} is harmed for {} ms",
                self.label,
                worker.name(),
                worker.harmed_ms
            );
        }
    }

    fn check_waits(&mut self) {
        let now = self.fixture.now;
        for job in &mut self.jobs {
            let mut runs = self.workers.iter().flat_map(|worker| &worker.runs);
            let is_running = runs.any(|run| task_identity(&run.task).job == job.identity);
            let progress = self.fixture.stored_progress(&job.identity);
            let is_over = progress.is_some_and(|progress| progress.standing.is_final());
            if is_running || is_over {
                job.last_running = now;
            }
            let idle_ms = now.saturating_sub(job.last_running);
            let is_checked = now >= TRAFFIC_END + BEGUN_AFTER_MS;
            assert!(
                !is_checked || idle_ms < IDLE_MAX_MS,
                "{}: {} has nothing running for {idle_ms} ms, {} ms after the traffic",
                self.label,
                job.identity,
                now - TRAFFIC_END,
            );
        }
    }
}
