//! Runs that have ended on a worker.

use crate::job_ownership::ended_run::EndedRun;
use crate::job_ownership::job_bounds::RUNS;

/// Runs that have ended on a worker; their ends are numbered from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndedRuns {
    ends: [Option<EndedRun>; RUNS],
    /// Ends up to this number were acknowledged by an owner and removed.
    pub acknowledged: u8,
    /// Number of the latest end; 0 before the first.
    pub latest: u8,
}

impl EndedRuns {
    /// Adds the end of a run.
    pub(crate) fn push(&mut self, run: u8, is_done: bool) {
        self.ends[usize::from(self.latest)] = Some(EndedRun {
            run,
            is_done,
            is_lapsed: false,
            is_followed: false,
        });
        self.latest += 1;
    }

    /// The ends with a number above `number` that are not acknowledged.
    pub(crate) fn after(&self, number: u8) -> impl Iterator<Item = EndedRun> + use<> {
        let first = usize::from(number.max(self.acknowledged));
        self.ends.into_iter().skip(first).flatten()
    }

    /// Removes the ends up to `number` and returns them.
    pub(crate) fn acknowledge(&mut self, number: u8) -> Vec<EndedRun> {
        let first = usize::from(self.acknowledged);
        let last = usize::from(number.min(self.latest));
        if last <= first {
            return Vec::new();
        }
        self.acknowledged = number;
        let ended = self.ends[first..last].iter_mut();
        ended.filter_map(Option::take).collect()
    }

    /// Applies `update` to every end that is not acknowledged.
    pub(crate) fn update_all(&mut self, update: impl Fn(&mut EndedRun)) {
        self.ends.iter_mut().flatten().for_each(update);
    }
}
