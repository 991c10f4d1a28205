//! The ends that a worker lists.

use crate::job_ownership::job_bounds::RUNS;
use crate::job_ownership::run_end::RunEnd;

/// The ends at a worker, numbered from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunEnds {
    ends: [Option<RunEnd>; RUNS],
    /// Ends up to this number are forgotten.
    pub forgotten: u8,
    /// The number of the latest end.
    pub latest: u8,
}

impl RunEnds {
    /// Adds the end of a run.
    pub(crate) fn push(&mut self, run: u8, is_done: bool) {
        self.ends[usize::from(self.latest)] = Some(RunEnd {
            run,
            is_done,
            is_lapsed: false,
            is_followed: false,
        });
        self.latest += 1;
    }

    /// The ends that are not forgotten and have a number above `number`.
    pub(crate) fn above(&self, number: u8) -> impl Iterator<Item = RunEnd> + use<> {
        let first = usize::from(number.max(self.forgotten));
        self.ends.into_iter().skip(first).flatten()
    }

    /// Forgets the ends up to `number` and gives them.
    pub(crate) fn forget(&mut self, number: u8) -> Vec<RunEnd> {
        let first = usize::from(self.forgotten);
        let last = usize::from(number.min(self.latest));
        if last <= first {
            return Vec::new();
        }
        self.forgotten = number;
        let places = self.ends[first..last].iter_mut();
        places.filter_map(Option::take).collect()
    }

    /// Changes every end that is not forgotten.
    pub(crate) fn change(&mut self, change: impl Fn(&mut RunEnd)) {
        self.ends.iter_mut().flatten().for_each(change);
    }
}
