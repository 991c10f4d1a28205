//! Crashes of daemons and workers while long-running tasks run.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::thread;
use std::time::Duration;

use nix::sys::signal::Signal;
use sapphirestile_platform_standins::SiteBodies;
use sapphirestile_test_support::ProxyMode;
use sapphirestile_test_support::wait_until;

use crate::crash_series::CrashSeries;
use crate::crash_step::CrashStep;
use crate::gap_check::GapCheck;
use crate::soak_daemon::SoakDaemon;
use crate::soak_scenario::CELL_WORKERS;
use crate::soak_scenario::DAEMONS;
use crate::soak_scenario::SoakScenario;
use crate::soak_scenario::WORKERS;
use crate::soak_worker::SoakWorker;
use crate::submission_log::SubmissionOutcome;
use crate::worker_return::WorkerReturn;

/// The number of long-running jobs; each has two tasks.
const LONG_JOBS: usize = 3;

/// The number of tasks of the long-running jobs. One worker of a cell has room for all.
const LONG_TASKS: usize = 2 * LONG_JOBS;

/// The maximum interval at which disturbances that last are recorded and jobs submitted.
const TICK: Duration = Duration::from_millis(200);

/// The minimum time until the next step for a short job to be submitted before, in
/// milliseconds: longer than its caller waits.
const SUBMIT_MS: u64 = 1_000;

impl SoakScenario {
    /// Submits long-running jobs, which nobody cancels, plays the steps of `series`, and
    /// checks what the caller and the workers saw.
    ///
    /// # Panics
    ///
    /// As [`Self::run`]; and when a long-running task does not run again before the end, or
    /// by `check` not in time.
    pub fn run_crashes(mut self, series: &CrashSeries, check: GapCheck) {
        self.submit_long_jobs();
        let start_ms = self.fleet.clock_ms();
        for timed in series.steps() {
            self.wait_for_step(start_ms + timed.at_ms);
            println!("{:>6} ms {:?}", timed.at_ms, timed.step);
            self.play(timed.step);
        }
        self.wait_for_long_tasks();
        self.check_jobs();
        self.check_gaps(check);
    }

    fn submit_long_jobs(&mut self) {
        for index in 0..LONG_JOBS {
            let job = self.draw_job();
            wait_until("a long-running job is accepted", || {
                let outcome = self.submit(index % DAEMONS, &job, &SiteBodies::long_running());
                (outcome == SubmissionOutcome::Accepted).then_some(())
            });
            self.submissions.record_long_running(&job);
        }
        self.wait_for_long_tasks();
    }

    fn wait_for_long_tasks(&mut self) {
        let what = format!("seed {}: every long-running task runs", self.seed);
        wait_until(&what, || {
            self.resume_or_restart();
            let runs = self.fleet.long_runs();
            let running = runs.iter().filter(|run| run.end.is_none());
            let tasks: BTreeSet<&str> = running.map(|run| run.task.as_str()).collect();
            (tasks.len() == LONG_TASKS).then_some(())
        });
    }

    /// Submits short jobs and records disturbances until `due_ms` on the fleet's clock.
    fn wait_for_step(&mut self, due_ms: u64) {
        loop {
            self.record_lasting_disturbance();
            let left_ms = due_ms.saturating_sub(self.fleet.clock_ms());
            if left_ms == 0 {
                return;
            }
            if left_ms > SUBMIT_MS {
                self.submit_short_job();
            }
            thread::sleep(TICK.min(Duration::from_millis(left_ms)));
        }
    }

    fn play(&mut self, step: CrashStep) {
        match step {
            CrashStep::KillDaemon(daemon) => self.daemons[daemon].signal(Signal::SIGKILL),
            CrashStep::StartDaemon(daemon) => self.daemons[daemon].resume_or_restart(),
            CrashStep::LosePower { loss, rank } => self.lose_power(loss, rank),
            CrashStep::RestorePower { loss, how } => self.restore_power(loss, how),
            CrashStep::RemoveEntry { loss } => {
                if let Some(worker) = self.lost_workers.get(&loss) {
                    self.workers[*worker].remove_lost_entry();
                }
            }
            CrashStep::Disrupt(fault) => {
                self.is_disrupted = true;
                self.inject(fault);
            }
            CrashStep::CutLink { rank } => self.cut_link(rank),
            CrashStep::EndDisruptions => self.end_disruptions(),
        }
        if step.is_disturbance() {
            self.disturbances.record(self.fleet.clock_ms());
        }
    }

    fn end_disruptions(&mut self) {
        self.repair();
        for daemon in &self.daemons {
            daemon.signal(Signal::SIGCONT);
        }
        self.is_disrupted = false;
    }

    fn lose_power(&mut self, loss: usize, rank: usize) {
        let can_lose = |worker: &SoakWorker| worker.can_lose_power();
        if let Some(index) = self.ranked_worker(rank, can_lose) {
            self.workers[index].lose_power();
            self.lost_workers.insert(loss, index);
        }
    }

    fn cut_link(&mut self, rank: usize) {
        self.is_disrupted = true;
        if let Some(index) = self.ranked_worker(rank, SoakWorker::has_power) {
            self.workers[index].set_link(ProxyMode::Disconnected);
        }
    }

    /// The worker of that rank by its number of long-running tasks, or the last one, of those
    /// that `is_eligible` allows.
    fn ranked_worker(
        &self,
        rank: usize,
        is_eligible: impl Fn(&SoakWorker) -> bool,
    ) -> Option<usize> {
        let runs = self.fleet.long_runs();
        let tasks = |worker: &SoakWorker| {
            let running = runs.iter().filter(|run| run.end.is_none());
            running.filter(|run| run.worker == worker.name()).count()
        };
        let mut indexes: Vec<usize> = (0..WORKERS)
            .filter(|index| is_eligible(&self.workers[*index]))
            .collect();
        indexes.sort_by_key(|index| Reverse(tasks(&self.workers[*index])));
        indexes.get(rank).or(indexes.last()).copied()
    }

    /// Starts the next life of the worker of that loss. One that would leave its cell without
    /// a worker comes back under its name.
    fn restore_power(&mut self, loss: usize, how: WorkerReturn) {
        let Some(index) = self.lost_workers.get(&loss).copied() else {
            return;
        };
        let mut cells = self.workers.chunks(CELL_WORKERS);
        let cell = cells.nth(index / CELL_WORKERS).unwrap_or_default();
        let is_served = cell.iter().any(SoakWorker::has_power);
        let how = match how {
            WorkerReturn::Never if !is_served => WorkerReturn::SameName,
            how => how,
        };
        self.workers[index].restore_power(how);
    }

    /// Records a disturbance while a disruption lasts, no daemon runs or a cell has no worker.
    fn record_lasting_disturbance(&mut self) {
        let mut daemons = self.daemons.iter_mut();
        let is_served = daemons.any(SoakDaemon::is_running);
        let mut cells = self.workers.chunks(CELL_WORKERS);
        let have_workers = cells.all(|cell| cell.iter().any(SoakWorker::has_power));
        if self.is_disrupted || !is_served || !have_workers {
            self.disturbances.record(self.fleet.clock_ms());
        }
    }
}
