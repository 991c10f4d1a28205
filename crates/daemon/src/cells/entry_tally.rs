//! What an entry brings about, in numbers.

use sapphirestile_cells::CellTransition;
use sapphirestile_cells::EntryBody;
use sapphirestile_cells::JournalEntry;
use sapphirestile_cells::TaskOutcome;

/// How many tasks an entry starts and ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryTally {
    /// Attempts that it lets start.
    pub starts: u64,
    /// Tasks that did all their work.
    pub finished: u64,
    /// Tasks that failed for good.
    pub failed: u64,
}

impl EntryTally {
    /// The numbers of `entry`.
    #[must_use]
    pub fn of(entry: &JournalEntry) -> Self {
        let mut tally = Self::default();
        if let EntryBody::Batch(transitions) = &entry.body {
            for transition in transitions {
                tally.count(transition);
            }
        }
        tally
    }

    fn count(&mut self, transition: &CellTransition) {
        match transition {
            CellTransition::TaskAssigned { .. } => self.starts += 1,
            CellTransition::TaskEnded { outcome, .. } => match outcome {
                TaskOutcome::Finished => self.finished += 1,
                TaskOutcome::Failed => self.failed += 1,
                TaskOutcome::Cancelled => {}
            },
            _ => {}
        }
    }
}
