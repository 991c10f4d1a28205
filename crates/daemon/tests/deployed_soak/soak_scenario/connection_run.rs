//! Faults of connections while long-running jobs are cancelled and begin.

use std::thread;
use std::time::Duration;

use nix::sys::signal::Signal;
use sapphirestile_platform_standins::LongRun;
use sapphirestile_platform_standins::SiteBodies;
use sapphirestile_test_support::ProxyMode;
use sapphirestile_test_support::wait_until;

use crate::connection_fault::ConnectionFault;
use crate::gap_check::GapCheck;
use crate::soak_scenario::DAEMONS;
use crate::soak_scenario::SoakScenario;
use crate::submission_log::SubmissionOutcome;

/// A job of many short tasks, whose orders overlap and open connections.
const WIDE_JOB: &str = r#"{"spec":"20","steps":[{"count":64,"cpu":50,"mem-mb":1}]}"#;

/// The time that data to and from workers takes in one direction.
const WORKER_LINK_DELAY: Duration = Duration::from_millis(8);

/// The time from a fault until jobs are cancelled and submitted: the daemons are to have found
/// out by then.
const CALM: Duration = Duration::from_millis(3_300);

/// Longest time from the acknowledgement of a cancellation until the tasks have ended, in
/// milliseconds.
const CANCEL_MAX_MS: u64 = 3_900;

/// Longest time from the acknowledgement of a long-running job until it runs, in milliseconds.
const FIRST_RUN_MAX_MS: u64 = 9_000;

impl SoakScenario {
    /// Plays `faults` faults of connections. After each, a long-running job is cancelled and
    /// another one submitted.
    ///
    /// # Panics
    ///
    /// As [`Self::run`]; and when a cancelled task does not end or a new one does not run before
    /// the end of the test, or by `check` not in time.
    pub fn run_connection_faults(mut self, faults: u32, check: GapCheck) {
        let mut job = self.begin_long_job();
        for _ in 0..faults {
            self.complete_wide_job();
            let fault = ConnectionFault::draw(&mut self.random);
            println!("{fault:?}");
            self.inject_connection_fault(fault);
            thread::sleep(CALM);
            let cancel_ms = self.cancel_long_job(&job);
            let accepted_ms = self.fleet.clock_ms();
            job = self.begin_long_job();
            let first_run_ms = self.begun_ms(&job).saturating_sub(accepted_ms);
            println!(
                "seed {}: cancelled within {cancel_ms} ms, next one began within {first_run_ms} ms",
                self.seed
            );
            if check == GapCheck::Bound {
                assert!(
                    cancel_ms <= CANCEL_MAX_MS,
                    "seed {}: {cancel_ms} ms until the cancelled tasks ended",
                    self.seed
                );
                assert!(
                    first_run_ms <= FIRST_RUN_MAX_MS,
                    "seed {}: {first_run_ms} ms until the new job ran",
                    self.seed
                );
            }
        }
        self.cancel_long_job(&job);
        self.check_jobs();
    }

    /// Submits a job whose tasks overlap, and waits until it is completed.
    fn complete_wide_job(&mut self) {
        for worker in &self.workers {
            worker.set_link(ProxyMode::Delayed(WORKER_LINK_DELAY));
        }
        let job = self.draw_job();
        self.accept_at_any(&job, WIDE_JOB);
        self.submissions.record(&job, SubmissionOutcome::Accepted);
        wait_until("a job of many tasks is completed", || {
            let (_, text) = self.caller.job_state(0, &job)?;
            (text == SiteBodies::state("completed")).then_some(())
        });
    }

    /// Submits a long-running job, waits until all its tasks run, and returns its name.
    fn begin_long_job(&mut self) -> String {
        let job = self.draw_job();
        self.accept_at_any(&job, &SiteBodies::long_running());
        self.submissions.record_long_running(&job);
        wait_until("a long-running job runs", || {
            (self.open_runs(&job).len() == 2).then_some(())
        });
        job
    }

    fn accept_at_any(&self, job: &str, body: &str) {
        let mut daemons = (0..DAEMONS).cycle();
        wait_until("a job is accepted", || {
            let daemon = daemons.next()?;
            let outcome = self.submit(daemon, job, body);
            (outcome == SubmissionOutcome::Accepted).then_some(())
        });
    }

    /// Cancels a long-running job, and returns the time until its tasks have ended, in
    /// milliseconds.
    fn cancel_long_job(&self, job: &str) -> u64 {
        let mut daemons = (0..DAEMONS).cycle();
        wait_until("a cancellation is acknowledged", || {
            let daemon = daemons.next()?;
            self.caller
                .cancel(daemon, job)
                .filter(|status| *status == 200)
        });
        let cancelled_ms = self.fleet.clock_ms();
        wait_until("the cancelled tasks have ended", || {
            self.open_runs(job).is_empty().then_some(())
        });
        let ends = self.runs_of(job).into_iter().filter_map(|run| run.end);
        let last_ms = ends.map(|end| end.ended_ms).max().unwrap_or_default();
        last_ms.saturating_sub(cancelled_ms)
    }

    /// When the last task of a job began, in milliseconds.
    fn begun_ms(&self, job: &str) -> u64 {
        let runs = self.runs_of(job).into_iter();
        runs.map(|run| run.started_ms).max().unwrap_or_default()
    }

    fn runs_of(&self, job: &str) -> Vec<LongRun> {
        // Reading the number of runs lets the fleet end what is due.
        let _ = self.fleet.running();
        let runs = self.fleet.long_runs().into_iter();
        runs.filter(|run| run.task.starts_with(job)).collect()
    }

    fn open_runs(&self, job: &str) -> Vec<LongRun> {
        let runs = self.runs_of(job).into_iter();
        runs.filter(|run| run.end.is_none()).collect()
    }

    fn inject_connection_fault(&self, fault: ConnectionFault) {
        match fault {
            ConnectionFault::SilentWorkers => self.silence_workers(),
            ConnectionFault::SilentStore => self.silence_store(),
            ConnectionFault::AllSilent => {
                self.silence_workers();
                self.silence_store();
            }
            ConnectionFault::Frozen { daemon, for_ms } => self.freeze(daemon, for_ms),
            ConnectionFault::FrozenInTurn { daemon, for_ms } => {
                self.freeze(daemon, for_ms);
                self.freeze(daemon + 1, for_ms);
            }
        }
    }

    fn silence_workers(&self) {
        for worker in &self.workers {
            worker.silence_link();
        }
    }

    fn silence_store(&self) {
        for link in &self.store_links {
            link.silence_open();
        }
    }

    fn freeze(&self, daemon: usize, for_ms: u64) {
        let daemon = &self.daemons[daemon % DAEMONS];
        daemon.signal(Signal::SIGSTOP);
        thread::sleep(Duration::from_millis(for_ms));
        daemon.signal(Signal::SIGCONT);
    }
}
