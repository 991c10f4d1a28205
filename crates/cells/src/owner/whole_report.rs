//! The latest whole report of a worker.

use std::cmp::Ordering;

use crate::owner::GoneAttempt;
use crate::owner::MergeFault;
use crate::owner::ReportChanges;
use crate::owner::ReportMark;
use crate::owner::TaskSighting;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::TaskName;

/// All that a worker showed in the latest report that was merged.
///
/// # Examples
///
/// ```
/// use sapphirestile_cells::ReportChanges;
/// use sapphirestile_cells::ReportMark;
/// use sapphirestile_cells::WholeReport;
/// use sapphirestile_core::IncarnationNumber;
///
/// let mark = ReportMark { incarnation: IncarnationNumber::new(3), permit: 40 };
/// let all = ReportChanges { mark, base: None, count: 0, changed: Vec::new(), gone: Vec::new() };
/// let mut whole = WholeReport::default();
/// whole.merge(&all).unwrap();
/// assert_eq!(whole.mark(), Some(mark));
/// let later = ReportMark { permit: 42, ..mark };
/// let unknown = ReportChanges { mark: later, base: Some(41), ..all };
/// assert!(whole.merge(&unknown).is_err());
/// assert_eq!(whole.mark(), None);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WholeReport {
    mark: Option<ReportMark>,
    /// In order of task and attempt.
    tasks: Vec<TaskSighting>,
}

impl WholeReport {
    /// Merges an answer in.
    ///
    /// # Errors
    ///
    /// [`MergeFault`] when the answer does not lead to a whole report; nothing is
    /// held then, so that the next answer has to be whole.
    pub fn merge(&mut self, changes: &ReportChanges) -> Result<(), MergeFault> {
        let merged = std::mem::take(self).merged(changes)?;
        *self = merged;
        Ok(())
    }

    /// Which report is held.
    #[must_use]
    pub const fn mark(&self) -> Option<ReportMark> {
        self.mark
    }

    /// Every attempt on the worker, in order.
    #[must_use]
    pub fn tasks(&self) -> &[TaskSighting] {
        &self.tasks
    }

    fn merged(mut self, changes: &ReportChanges) -> Result<Self, MergeFault> {
        match changes.base {
            Some(permit) => self.check_base(changes, permit)?,
            None => self.tasks.clear(),
        }
        for gone in &changes.gone {
            self.remove(gone);
        }
        for sighting in &changes.changed {
            self.put(sighting);
        }
        if u32::try_from(self.tasks.len()) != Ok(changes.count) {
            return Err(MergeFault::OtherCount);
        }
        self.mark = Some(changes.mark);
        Ok(self)
    }

    fn check_base(&self, changes: &ReportChanges, permit: u64) -> Result<(), MergeFault> {
        let base = ReportMark {
            permit,
            ..changes.mark
        };
        if self.mark == Some(base) {
            Ok(())
        } else {
            Err(MergeFault::OtherBase)
        }
    }

    fn remove(&mut self, gone: &GoneAttempt) {
        if let Ok(place) = self.place(&gone.task, gone.attempt) {
            self.tasks.remove(place);
        }
    }

    fn put(&mut self, sighting: &TaskSighting) {
        match self.place(&sighting.task, sighting.attempt) {
            Ok(place) => self.tasks[place] = sighting.clone(),
            Err(place) => self.tasks.insert(place, sighting.clone()),
        }
    }

    fn place(&self, task: &TaskName, attempt: AttemptNumber) -> Result<usize, usize> {
        let compare = |held: &TaskSighting| -> Ordering {
            let tasks = held.task.cmp(task);
            tasks.then(held.attempt.cmp(&attempt))
        };
        self.tasks.binary_search_by(compare)
    }
}
