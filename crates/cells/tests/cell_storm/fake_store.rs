//! Simulated store.

use crate::fake_commit::FakeCommit;
use crate::store_answer::StoreAnswer;
use sapphirestile_cells::CellState;
use sapphirestile_cells::JournalEntry;
use sapphirestile_cells::TaskEntry;

/// A journal with its head row, and the configuration's revision.
#[derive(Default)]
pub struct FakeStore {
    pub down: bool,
    pub config: usize,
    head: u64,
    latest: Option<JournalEntry>,
    snapshot: CellState,
    tail: Vec<JournalEntry>,
    folded: CellState,
}

impl FakeStore {
    /// Loads the fold of the snapshot and the entries after it, and the head row's revision.
    pub fn load(&self) -> (CellState, u64) {
        let mut state = self.snapshot.clone();
        for entry in &self.tail {
            state.fold(entry);
        }
        self.check_snapshot(&state);
        (state, self.head)
    }

    /// Checks that a snapshot equals the fold of the entries that it replaced. Only attempt
    /// numbers of waiting or ended tasks may differ, by attempts undone before a commit.
    fn check_snapshot(&self, state: &CellState) {
        assert_eq!(
            state.jobs(),
            self.folded.jobs(),
            "the jobs of the snapshot differ from the fold of the journal"
        );
        assert_eq!(state.tasks().len(), self.folded.tasks().len());
        for (task, entry) in state.tasks().iter() {
            let same = match (entry, self.folded.tasks().get(task)) {
                (TaskEntry::Assigned(one), Some(TaskEntry::Assigned(other))) => one == other,
                (TaskEntry::Ended(one), Some(TaskEntry::Ended(other))) => {
                    one.phase().outcome == other.phase().outcome
                }
                (TaskEntry::Waiting(_), Some(TaskEntry::Waiting(_))) => true,
                _ => false,
            };
            assert!(
                same,
                "{task} in the snapshot differs from the fold of the journal"
            );
        }
    }

    /// The fold of every committed entry.
    pub const fn state(&self) -> &CellState {
        &self.folded
    }

    /// The head row's revision and the entry that wrote it.
    pub const fn head(&self) -> (u64, Option<&JournalEntry>) {
        (self.head, self.latest.as_ref())
    }

    pub fn commit(&mut self, commit: &FakeCommit) -> StoreAnswer {
        let moved = commit.config.is_some_and(|config| config != self.config);
        if commit.head != self.head || moved {
            return StoreAnswer::Conflict;
        }
        self.head += 1;
        self.latest = Some(commit.entry.clone());
        self.folded.fold(&commit.entry);
        match &commit.snapshot {
            Some(state) => {
                self.snapshot = state.clone();
                self.tail.clear();
            }
            None => self.tail.push(commit.entry.clone()),
        }
        StoreAnswer::Done(self.head)
    }
}
