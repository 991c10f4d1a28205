//! Counts of the starts and ends of tasks in a journal entry.

use sapphirestile_cells::CellTransition;
use sapphirestile_cells::EntryBody;
use sapphirestile_cells::JournalEntry;
use sapphirestile_cells::TaskOutcome;

/// How many tasks a journal entry starts and ends, for the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryCounts {
    /// Attempts assigned to a worker.
    pub starts: u64,
    /// Tasks that finished all their work.
    pub finished: u64,
    /// Tasks that failed and are not retried.
    pub failed: u64,
}

impl EntryCounts {
    /// Counts the transitions of `entry`. All counts of a claim or a release are 0.
    #[must_use]
    pub fn of(entry: &JournalEntry) -> Self {
        let mut counts = Self::default();
        if let EntryBody::Batch(transitions) = &entry.body {
            for transition in transitions {
                counts.count(transition);
            }
        }
        counts
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
