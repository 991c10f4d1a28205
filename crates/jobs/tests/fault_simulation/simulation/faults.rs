//! Submission and cancellation of jobs, and injection of faults.

use rand::Rng;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobSpec;
use sapphirestile_jobs::QueueTerms;
use sapphirestile_jobs::ResourceVector;
use sapphirestile_jobs::StepSpec;

use crate::fake_worker::FakeWorker;
use crate::simulated_daemon::SimulatedDaemon;
use crate::simulation::Simulation;

use super::ATTEMPTS;
use super::DAEMONS;
use super::END_MS;
use super::FAULTS_END_MS;
use super::RESTARTS;
use super::RESUME_PARTITION_MS;
use super::SUSPENSIONS;
use super::WORKERS;

impl Simulation {
    pub(super) fn submit(&mut self) {
        let digits: u64 = self.random.random();
        let identity = JobIdentity::try_from(format!("{digits:016x}").as_str()).unwrap();
        let is_long_running = self.random.random_bool(0.2);
        let step = |after: Vec<u32>, tasks: u32| StepSpec {
            tasks,
            size: ResourceVector {
                cpu_milli: 1_000,
                memory_mib: 100,
                accelerators: 0,
            },
            after,
            is_long_running,
            ..StepSpec::default()
        };
        let steps = if is_long_running {
            vec![step(Vec::new(), 2)]
        } else {
            vec![step(Vec::new(), 4), step(vec![0], 3)]
        };
        let spec = JobSpec {
            queue: "charts".into(),
            terms: QueueTerms {
                service: "sizing".into(),
                priority: 0,
                attempts: ATTEMPTS,
            },
            text: "".into(),
            steps,
            repeat: None,
            accepted_unix_ms: self.now,
        };
        self.store.specs.insert(identity, spec);
    }

    pub(super) fn cancel(&mut self) {
        let first = self.store.specs.keys().next().copied();
        self.store.cancelled.extend(first);
    }

    /// Suspends the owner for less than a lease. After it resumes, it can reach neither the
    /// store nor any worker but one with a long-running task, which no other daemon can reach.
    pub(super) fn suspend_owner(&mut self, worker: usize, duration_ms: u64) {
        let has_long_running =
            |worker: &FakeWorker| worker.running.values().any(|run| run.end > END_MS);
        let worker = self
            .workers
            .iter()
            .position(has_long_running)
            .unwrap_or(worker);
        let mut states = self.daemons.iter();
        if states.any(|state| self.now < state.partitioned_until) {
            return;
        }
        let owns = |state: &SimulatedDaemon| state.owner.is_some();
        let Some(daemon) = self.daemons.iter().position(owns) else {
            return;
        };
        let state = &mut self.daemons[daemon];
        state.paused_until = self.now + 3_000 + duration_ms / 4;
        state.partitioned_until = state.paused_until + RESUME_PARTITION_MS;
        self.workers[worker].reachable_from = Some((daemon, state.partitioned_until));
    }

    pub(super) fn inject_fault(&mut self) {
        let daemon = self.random.random_range(0..DAEMONS);
        let worker = self.random.random_range(0..WORKERS);
        let duration_ms = self.random.random_range(500..6_000);
        let kind = self.random.random_range(0..4);
        if self.faults == SUSPENSIONS && self.now < FAULTS_END_MS {
            self.suspend_owner(worker, duration_ms);
        }
        if self.injects(2) && kind == 0 {
            let state = &mut self.daemons[daemon];
            if self.now >= state.paused_until {
                state.paused_until = self.now + duration_ms;
            }
        }
        if self.injects(2) && kind == 1 {
            let state = &mut self.daemons[daemon];
            state.owner = None;
            state.incarnation += 1;
            state.queued.clear();
            state.paused_until = state.paused_until.max(self.now + 500);
        }
        if self.injects(3) && kind == 2 {
            self.workers[worker].partitioned_until = self.now + duration_ms * 2;
        }
        if self.injects(3) && kind == 3 {
            let now = self.now;
            self.workers[worker].crash(now, duration_ms);
        }
        if self.faults == RESTARTS && self.now < FAULTS_END_MS {
            self.inject_restart(kind, daemon, worker, duration_ms);
        }
        if self.injects(4) && kind <= 1 {
            self.store.unavailable_until = self.now + duration_ms;
        }
    }

    /// Kills an owner, or restarts a worker before anybody notices, beside a store that is
    /// unavailable.
    fn inject_restart(&mut self, kind: u32, daemon: usize, worker: usize, duration_ms: u64) {
        if kind == 1 {
            let state = &mut self.daemons[daemon];
            state.owner = None;
            state.incarnation += 1;
            state.queued.clear();
            return;
        }
        if kind >= 2 {
            let now = self.now;
            self.workers[worker].crash(now, duration_ms / 10);
        }
        self.store.unavailable_until = self.now + duration_ms;
    }
}
