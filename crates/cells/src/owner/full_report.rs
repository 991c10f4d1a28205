//! The latest full report of a worker.

use std::cmp::Ordering;

use crate::owner::AttemptReport;
use crate::owner::GoneAttempt;
use crate::owner::MergeError;
use crate::owner::ReportChanges;
use crate::owner::ReportMark;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::TaskName;

/// All attempts on a worker, as of the latest report merged.
///
/// # Examples
///
/// ```
/// use sapphirestile_cells::ReportChanges;
/// use sapphirestile_cells::ReportMark;
/// use sapphirestile_cells::FullReport;
/// use sapphirestile_core::IncarnationNumber;
///
/// let mark = ReportMark { incarnation: IncarnationNumber::new(3), permit: 40 };
/// let all = ReportChanges { mark, base: None, count: 0, changed: Vec::new(), gone: Vec::new() };
/// let mut full = FullReport::default();
/// full.merge(&all).unwrap();
/// assert_eq!(full.mark(), Some(mark));
/// let later = ReportMark { permit: 42, ..mark };
/// let unknown = ReportChanges { mark: later, base: Some(41), ..all };
/// assert!(full.merge(&unknown).is_err());
/// assert_eq!(full.mark(), None);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FullReport {
    mark: Option<ReportMark>,
    /// Sorted by task and attempt.
    tasks: Vec<AttemptReport>,
}

impl FullReport {
    /// Merges the changes of an answer.
    ///
    /// # Errors
    ///
    /// [`MergeError`] when the changes do not produce a full report. The held report is
    /// then dropped, so the next answer has to be a full report.
    pub fn merge(&mut self, changes: &ReportChanges) -> Result<(), MergeError> {
        let merged = std::mem::take(self).merged(changes)?;
        *self = merged;
        Ok(())
    }

    /// Identity of the report that is held; `None` when none is.
    #[must_use]
    pub const fn mark(&self) -> Option<ReportMark> {
        self.mark
    }

    /// All attempts on the worker, sorted by task and attempt.
    #[must_use]
    pub fn tasks(&self) -> &[AttemptReport] {
        &self.tasks
    }

    fn merged(mut self, changes: &ReportChanges) -> Result<Self, MergeError> {
        match changes.base {
            Some(permit) => self.check_base(changes, permit)?,
            None => self.tasks.clear(),
        }
        for gone in &changes.gone {
            self.remove(gone);
        }
        for attempt_report in &changes.changed {
            self.upsert(attempt_report);
        }
        if u32::try_from(self.tasks.len()) != Ok(changes.count) {
            return Err(MergeError::OtherCount);
        }
        self.mark = Some(changes.mark);
        Ok(self)
    }

    fn check_base(&self, changes: &ReportChanges, permit: u64) -> Result<(), MergeError> {
        let base = ReportMark {
            permit,
            ..changes.mark
        };
        if self.mark == Some(base) {
            Ok(())
        } else {
            Err(MergeError::OtherBase)
        }
    }

    fn remove(&mut self, gone: &GoneAttempt) {
        if let Ok(index) = self.index_of(&gone.task, gone.attempt) {
            self.tasks.remove(index);
        }
    }

    fn upsert(&mut self, attempt_report: &AttemptReport) {
        match self.index_of(&attempt_report.task, attempt_report.attempt) {
            Ok(index) => self.tasks[index] = attempt_report.clone(),
            Err(index) => self.tasks.insert(index, attempt_report.clone()),
        }
    }

    fn index_of(&self, task: &TaskName, attempt: AttemptNumber) -> Result<usize, usize> {
        let compare = |held: &AttemptReport| -> Ordering {
            let tasks = held.task.cmp(task);
            tasks.then(held.attempt.cmp(&attempt))
        };
        self.tasks.binary_search_by(compare)
    }
}
