//! Logged decisions about tasks.

use sapphirestile_core::JournalSequence;
use sapphirestile_core::TaskName;

/// A logged decision about a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecisionRecord {
    /// Sequence of the journal entry that holds the decision, or will hold it.
    pub entry: JournalSequence,
    /// The task that was decided about.
    pub task: TaskName,
    /// The decision and its reason.
    pub text: String,
}

impl std::fmt::Display for DecisionRecord {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "entry {}, task {}: {}",
            self.entry, self.task, self.text
        )
    }
}
