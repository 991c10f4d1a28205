//! Seeds and cases that are named by the environment.

use std::ops::Range;

/// Variable with the seeds, as FIRST..END.
const SEEDS_VARIABLE: &str = "FAULT_SEEDS";
/// Variable with the cases, as a list with commas; all cases if it is not set.
const CASES_VARIABLE: &str = "FAULT_CASES";

/// Seeds to play in each of some cases.
#[derive(Clone, Debug)]
pub struct SeedRange {
    pub seeds: Range<u64>,
    pub cases: Vec<u32>,
}

impl SeedRange {
    /// Reads the seeds and the cases, which are all of `cases` if none is named; `None` if no
    /// seeds are named.
    pub fn from_environment(cases: Range<u32>) -> Option<Self> {
        let seeds = std::env::var(SEEDS_VARIABLE).ok()?;
        let (first, end) = seeds
            .split_once("..")
            .expect("FAULT_SEEDS has the form FIRST..END");
        let number = |text: &str| -> u64 { text.parse().expect("a seed is a number") };
        let named = std::env::var(CASES_VARIABLE).ok();
        let named = named.map(|list| {
            let parse = |text: &str| text.parse().expect("a case is a number");
            list.split(',').map(parse).collect()
        });
        Some(Self {
            seeds: number(first)..number(end),
            cases: named.unwrap_or_else(|| cases.collect()),
        })
    }
}
