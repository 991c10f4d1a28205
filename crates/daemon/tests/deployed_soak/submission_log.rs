//! The outcomes of all submissions as their callers know them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// The outcome of a job's submission as its caller knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmissionOutcome {
    /// A daemon accepted the job, so it must complete.
    Accepted,
    /// Every attempt was refused as not run, so the job must never run.
    Refused,
    /// An attempt got no response, or none that tells whether the job was accepted.
    Unknown,
}

/// The outcomes of all submissions, by job.
#[derive(Debug, Default)]
pub struct SubmissionLog {
    outcomes: BTreeMap<String, SubmissionOutcome>,
    /// The accepted jobs that run until they are cancelled.
    long_running: BTreeSet<String>,
}

impl SubmissionLog {
    pub fn record(&mut self, job: &str, outcome: SubmissionOutcome) {
        self.outcomes.insert(job.to_owned(), outcome);
    }

    /// Records an accepted job that runs until it is cancelled.
    pub fn record_long_running(&mut self, job: &str) {
        self.long_running.insert(job.to_owned());
    }

    /// The recorded jobs with an outcome, except for long-running ones.
    pub fn jobs(&self, outcome: SubmissionOutcome) -> impl Iterator<Item = &str> {
        let recorded = self.outcomes.iter();
        recorded
            .filter(move |(_, recorded)| **recorded == outcome)
            .map(|(job, _)| job.as_str())
    }

    pub fn contains(&self, job: &str) -> bool {
        self.outcomes.contains_key(job) || self.long_running.contains(job)
    }
}
