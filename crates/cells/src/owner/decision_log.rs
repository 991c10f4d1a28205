//! Log of an owner's latest decisions.

use std::collections::VecDeque;

use crate::journal::CellTransition;
use crate::owner::DecisionRecord;
use sapphirestile_core::JobName;
use sapphirestile_core::JournalSequence;
use sapphirestile_core::TaskIndex;
use sapphirestile_core::TaskName;

const DECISIONS_MAX: usize = 1_000;

/// The latest decisions, oldest first, at most 1,000. Not durable.
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
    records: VecDeque<DecisionRecord>,
}

impl DecisionLog {
    /// Logs a decision about a task, with the sequence of the entry that will hold it.
    pub fn push(&mut self, entry: JournalSequence, task: &TaskName, text: String) {
        if self.records.len() == DECISIONS_MAX {
            self.records.pop_front();
        }
        let task = task.clone();
        self.records.push_back(DecisionRecord { entry, task, text });
    }

    /// Logs a transition of a task; other transitions are ignored.
    pub fn push_transition(&mut self, entry: JournalSequence, change: &CellTransition) {
        match change {
            CellTransition::TaskAssigned {
                task,
                attempt,
                worker,
                ..
            } => {
                self.push(
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
                let cause = if *failed {
                    "failed"
                } else {
                    "is no longer running"
                };
                let text = format!(
                    "attempt {attempt} {cause}; task waits with {checkpoint_ms} ms of work saved"
                );
                self.push(entry, task, text);
            }
            CellTransition::TaskEnded {
                task,
                attempt,
                outcome,
            } => {
                self.push(entry, task, format!("attempt {attempt} ended: {outcome:?}"));
            }
            _ => {}
        }
    }

    /// Decisions about a job, or about one task of it when `index` is set.
    pub fn of_job(
        &self,
        job: &JobName,
        index: Option<TaskIndex>,
    ) -> impl Iterator<Item = &DecisionRecord> {
        let is_about = move |task: &TaskName| {
            task.job == *job && index.is_none_or(|index| task.index == index)
        };
        self.records
            .iter()
            .filter(move |record| is_about(&record.task))
    }

    /// All decisions, oldest first.
    #[must_use]
    pub fn records(&self) -> impl ExactSizeIterator<Item = &DecisionRecord> {
        self.records.iter()
    }
}
