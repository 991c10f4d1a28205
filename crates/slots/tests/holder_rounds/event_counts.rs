//! What happened in the rounds.

use sapphirestile_core::SortedTable;

/// Every kind of event that the rounds are to bring about.
const KINDS: [&str; 15] = [
    "answers lost",
    "cut",
    "embargoes lifted",
    "frozen",
    "handed on stop",
    "joined",
    "joint reclaims",
    "killed",
    "lost",
    "reclaims",
    "repeated",
    "runners reborn",
    "store out",
    "tokens moved",
    "tokens retired",
];

/// Faults brought about and work done in the rounds, by kind.
#[derive(Debug, Default)]
pub struct EventCounts {
    counts: SortedTable<&'static str, u32>,
}

impl EventCounts {
    pub fn note(&mut self, kind: &'static str, count: u32) {
        assert!(KINDS.contains(&kind), "{kind}");
        *self.counts.get_or_insert_with(kind, || 0) += count;
    }

    pub fn add(&mut self, other: &Self) {
        for (kind, count) in other.counts.iter() {
            self.note(kind, *count);
        }
    }

    pub fn assert_all_happened(&self) {
        let happened = |kind: &&str| self.counts.get(kind).is_some_and(|count| *count > 0);
        let missing = KINDS.iter().find(|kind| !happened(kind));
        assert_eq!(missing, None, "a kind of event never happened: {self:?}");
    }
}
