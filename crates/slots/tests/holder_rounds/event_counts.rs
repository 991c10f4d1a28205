//! Events of a simulation run.

use sapphirestile_core::SortedTable;

/// The kinds of events, each of which must occur in at least one run.
const KINDS: [&str; 15] = [
    "answers lost",
    "cut",
    "deferred tokens published",
    "frozen",
    "handed over on shutdown",
    "joined",
    "reclaims of several members",
    "killed",
    "lost",
    "reclaims",
    "repeated",
    "runners recreated",
    "store unavailable",
    "tokens moved",
    "tokens retired",
];

/// The number of injected faults and of other events, by kind.
#[derive(Debug, Default)]
pub struct EventCounts {
    counts: SortedTable<&'static str, u32>,
}

impl EventCounts {
    pub fn record(&mut self, kind: &'static str, count: u32) {
        assert!(KINDS.contains(&kind), "unknown kind of event: {kind}");
        *self.counts.get_or_insert_with(kind, || 0) += count;
    }

    pub fn add(&mut self, other: &Self) {
        for (kind, count) in other.counts.iter() {
            self.record(kind, *count);
        }
    }

    pub fn assert_all_happened(&self) {
        let happened = |kind: &&str| self.counts.get(kind).is_some_and(|count| *count > 0);
        let missing = KINDS.iter().find(|kind| !happened(kind));
        assert_eq!(missing, None, "a kind of event never occurred: {self:?}");
    }
}
