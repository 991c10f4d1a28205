//! What callers were told.

use std::collections::BTreeMap;

/// What callers were told of one job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ToldStanding {
    /// That it was accepted.
    Accepted,
    /// That it was not and has not run, and its caller did not ask again.
    Refused,
    /// Nothing certain: there was no answer, or none that decides.
    Unknown,
}

/// What callers were told of all jobs.
#[derive(Debug, Default)]
pub struct JobLedger {
    told: BTreeMap<String, ToldStanding>,
}

impl JobLedger {
    pub fn note(&mut self, job: &str, standing: ToldStanding) {
        self.told.insert(job.to_owned(), standing);
    }

    pub fn jobs(&self, standing: ToldStanding) -> impl Iterator<Item = &str> {
        let told = self.told.iter();
        told.filter(move |(_, told)| **told == standing)
            .map(|(job, _)| job.as_str())
    }

    pub fn is_known(&self, job: &str) -> bool {
        self.told.contains_key(job)
    }
}
