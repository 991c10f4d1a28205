//! Revisions that the store had lately.

use std::collections::VecDeque;

use sapphirestile_core::MonoTime;

/// Revisions that the store had lately, as this daemon has read them.
#[derive(Clone, Debug, Default)]
pub struct SeenRevisions {
    seen: VecDeque<(MonoTime, u64)>,
}

impl SeenRevisions {
    /// Records the store's revision at `now`, and drops those that no call for the age
    /// `age_ms` needs any more.
    pub fn record(&mut self, revision: u64, now: MonoTime, age_ms: u64) {
        self.seen.push_back((now, revision));
        while self
            .seen
            .get(1)
            .is_some_and(|(time, _)| now.millis_since(*time) >= age_ms)
        {
            self.seen.pop_front();
        }
    }

    /// The latest revision that was read `age_ms` before `now` or earlier; `None` if none was.
    pub fn before(&self, now: MonoTime, age_ms: u64) -> Option<u64> {
        let mut old = self.seen.iter().rev();
        let found = old.find(|(time, _)| now.millis_since(*time) >= age_ms);
        found.map(|(_, revision)| *revision)
    }
}
