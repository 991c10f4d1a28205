//! Submission and cancellation of jobs, and injection of faults.

use rand::Rng;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobSpec;
use sapphirestile_jobs::QueueTerms;
use sapphirestile_jobs::ResourceVector;
use sapphirestile_jobs::StepSpec;

use crate::simulated_daemon::SimulatedDaemon;
use crate::simulation::Simulation;

use super::ATTEMPTS;
use super::COPIES;
use super::DAEMONS;
use super::END_MS;
use super::FAULTS_END_MS;
use super::GANGS;
use super::KINDS;
use super::LATE_STORE;
use super::LONG_RUNNING_SHARE;
use super::LOSSES_SHARE;
use super::REFUSALS;
use super::RESTART_MS;
use super::RESTARTS;
use super::RESUME_PARTITION_MS;
use super::SUSPENSIONS;
use super::WORKERS;

impl Simulation {
    pub(super) fn submit(&mut self) {
        let digits: u64 = self.random.random();
        let identity = JobIdentity::try_from(format!("{digits:016x}").as_str()).unwrap();
        let share = match self.faults {
            COPIES | KINDS => 0.0,
            _ if self.plans_losses() => LOSSES_SHARE,
            _ => LONG_RUNNING_SHARE,
        };
        let is_long_running = self.random.random_bool(share);
        let step = |after: Vec<u32>, tasks: u32| StepSpec {
            tasks,
            size: ResourceVector {
                cpu_milli: self.task_cpu_milli(),
                memory_mib: 100,
                accelerators: 0,
            },
            after,
            is_long_running,
            is_gang: self.faults == GANGS && !is_long_running,
            is_speculative: self.faults == COPIES,
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
        let lasting = self
            .workers
            .iter()
            .position(|worker| worker.has_run_until(END_MS));
        let worker = lasting.unwrap_or(worker);
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
        let until = state.partitioned_until;
        self.workers[worker].reachable_from = Some((daemon, until));
        self.watch.disturb(until);
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
                self.watch.disturb(state.paused_until);
            }
        }
        if self.injects(2) && kind == 1 {
            self.crash_daemon(daemon, RESTART_MS);
        }
        if self.injects(3) && kind == 2 {
            let until = self.now + duration_ms * 2;
            self.workers[worker].partitioned_until = until;
            self.watch.disturb(until);
        }
        if self.injects(3) && kind == 3 {
            self.crash_worker(worker, duration_ms);
        }
        if self.faults == RESTARTS && self.now < FAULTS_END_MS {
            self.inject_restart(kind, daemon, worker, duration_ms);
        }
        if self.injects(4) && kind <= 1 {
            self.stop_store(duration_ms);
        }
        if self.now >= FAULTS_END_MS {
            return;
        }
        match self.faults {
            GANGS => self.inject_gang_loss(kind),
            LATE_STORE => self.inject_beside_late_store(kind, daemon, duration_ms),
            COPIES => self.inject_beside_copies(kind),
            REFUSALS => self.inject_refusals(kind, duration_ms),
            KINDS => self.inject_other_kinds(kind, daemon),
            _ => {}
        }
    }

    /// Ends the process of a daemon, which starts again `restart_ms` later.
    pub(super) fn crash_daemon(&mut self, daemon: usize, restart_ms: u64) {
        self.daemons[daemon].crash(self.now, restart_ms);
        self.watch.disturb(self.now + restart_ms);
    }

    fn crash_worker(&mut self, worker: usize, down_ms: u64) {
        self.workers[worker].crash(self.now, down_ms);
        self.watch.disturb(self.now + down_ms);
    }

    pub(super) fn stop_store(&mut self, duration_ms: u64) {
        self.store.unavailable_until = self.now + duration_ms;
        self.watch.disturb(self.now + duration_ms);
    }

    /// Kills an owner, or restarts a worker before anybody notices, beside a store that is
    /// unavailable.
    fn inject_restart(&mut self, kind: u32, daemon: usize, worker: usize, duration_ms: u64) {
        if kind == 1 {
            self.crash_daemon(daemon, 0);
            return;
        }
        if kind >= 2 {
            self.crash_worker(worker, duration_ms / 10);
        }
        self.stop_store(duration_ms);
    }
}
