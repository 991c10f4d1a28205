//! A decision about a task.

use sapphirestile_core::JournalSequence;
use sapphirestile_core::TaskName;

/// A decision about a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecisionNote {
    /// The journal's entry that holds it, or will.
    pub entry: JournalSequence,
    /// The task.
    pub task: TaskName,
    /// What was decided, and why.
    pub text: String,
}

impl std::fmt::Display for DecisionNote {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "entry {}, task {}: {}",
            self.entry, self.task, self.text
        )
    }
}
