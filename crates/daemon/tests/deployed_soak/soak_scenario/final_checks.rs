//! What must hold once the faults are over.

use std::time::Duration;

use sapphirestile_platform_standins::SiteBodies;
use sapphirestile_test_support::ProxyMode;
use sapphirestile_test_support::wait_until;

use crate::soak_scenario::DAEMONS;
use crate::soak_scenario::STATUS_OK;
use crate::soak_scenario::SoakScenario;
use crate::submission_log::SubmissionOutcome;

/// With one chunk of 16 KiB in this time, a large configuration takes about six seconds.
const SLOW_CHUNK_DELAY: Duration = Duration::from_millis(80);

impl SoakScenario {
    /// Checks that a large version comes into effect over slow links.
    fn check_config(&mut self) {
        for link in &self.store_links {
            link.set_mode(ProxyMode::Delayed(SLOW_CHUNK_DELAY));
        }
        let config = self.configs.large_version();
        self.store.put(SiteBodies::CONFIG_KEY, &config);
        let version = self.configs.latest();
        for daemon in 0..DAEMONS {
            let what = format!("seed {}: version {version} is in effect", self.seed);
            wait_until(&what, || {
                // A daemon that was asked to stop may end only now.
                self.resume_or_restart();
                self.probe_version(daemon, version).then_some(())
            });
        }
        self.repair();
    }

    pub(super) fn check(&mut self) {
        self.check_config();
        self.check_jobs();
    }

    /// Checks that the jobs did what their callers were told, and that no worker saw a
    /// violation.
    pub(super) fn check_jobs(&mut self) {
        let accepted = self.check_accepted();
        let started = self.fleet.started();
        self.check_refused(&started);
        self.check_requested(&started);
        self.check_workers();
        println!(
            "seed {}: {accepted} jobs accepted, {} runs",
            self.seed,
            started.len()
        );
    }

    /// Checks that accepted jobs complete. Returns their number.
    fn check_accepted(&mut self) -> usize {
        let accepted = self.submissions.jobs(SubmissionOutcome::Accepted);
        let accepted: Vec<String> = accepted.map(str::to_owned).collect();
        for (index, job) in accepted.iter().enumerate() {
            let what = format!("seed {}: accepted job {job} is completed", self.seed);
            wait_until(&what, || {
                // A daemon that was asked to stop may end only now.
                self.resume_or_restart();
                let (status, text) = self.caller.job_state(index % DAEMONS, job)?;
                (status == STATUS_OK && text == SiteBodies::state("completed")).then_some(())
            });
        }
        accepted.len()
    }

    fn check_refused(&self, started: &[String]) {
        for refused in self.submissions.jobs(SubmissionOutcome::Refused) {
            let ran = started.iter().find(|run| job_of(run) == refused);
            assert!(
                ran.is_none(),
                "seed {}: job {refused} was refused as not run, but {ran:?} was started",
                self.seed
            );
        }
    }

    fn check_requested(&self, started: &[String]) {
        for run in started {
            let job = job_of(run);
            assert!(
                self.submissions.contains(job),
                "seed {}: {run} was started, but no caller submitted {job}",
                self.seed
            );
        }
    }

    fn check_workers(&self) {
        let violations = self.fleet.violations();
        assert!(
            violations.is_empty(),
            "seed {}: the workers saw violations: {violations:?}",
            self.seed
        );
    }
}

fn job_of(run: &str) -> &str {
    run.split('.').next().unwrap_or_default()
}
