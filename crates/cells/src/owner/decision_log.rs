//! The latest decisions of an owner.

use std::collections::VecDeque;

use crate::journal::CellTransition;
use crate::owner::DecisionNote;
use sapphirestile_core::JobName;
use sapphirestile_core::JournalSequence;
use sapphirestile_core::TaskIndex;
use sapphirestile_core::TaskName;

const NOTES_MAX: usize = 1_000;

/// The latest decisions, oldest first; none of it lasts.
///
/// # Examples
///
/// ```
/// use sapphirestile_cells::DecisionLog;
/// use sapphirestile_core::JobName;
///
/// let log = DecisionLog::default();
/// assert_eq!(log.of_job(&JobName::try_from("patterns").unwrap(), None).count(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct DecisionLog {
    notes: VecDeque<DecisionNote>,
}

impl DecisionLog {
    /// Notes a decision about a task, with the journal's entry that will hold it.
    pub fn note(&mut self, entry: JournalSequence, task: &TaskName, text: String) {
        if self.notes.len() == NOTES_MAX {
            self.notes.pop_front();
        }
        let task = task.clone();
        self.notes.push_back(DecisionNote { entry, task, text });
    }

    /// Notes a change of a task.
    pub fn note_change(&mut self, entry: JournalSequence, change: &CellTransition) {
        match change {
            CellTransition::TaskAssigned {
                task,
                attempt,
                worker,
                ..
            } => {
                self.note(
                    entry,
                    task,
                    format!("attempt {attempt} assigned to {worker}"),
                );
            }
            CellTransition::TaskReturned {
                task,
                attempt,
                checkpoint_ms,
                failed,
            } => {
                let cause = if *failed { "failed" } else { "runs no more" };
                let text = format!("attempt {attempt} {cause}, waits from {checkpoint_ms} ms on");
                self.note(entry, task, text);
            }
            CellTransition::TaskEnded {
                task,
                attempt,
                outcome,
            } => {
                self.note(entry, task, format!("attempt {attempt} ended: {outcome:?}"));
            }
            _ => {}
        }
    }

    /// The decisions about a job, or one of its tasks.
    pub fn of_job(
        &self,
        job: &JobName,
        index: Option<TaskIndex>,
    ) -> impl Iterator<Item = &DecisionNote> {
        let meant = move |task: &TaskName| {
            task.job == *job && index.is_none_or(|index| task.index == index)
        };
        self.notes.iter().filter(move |note| meant(&note.task))
    }

    /// All decisions, oldest first.
    #[must_use]
    pub fn notes(&self) -> impl ExactSizeIterator<Item = &DecisionNote> {
        self.notes.iter()
    }
}
