//! Merging of workers' answers.

use crate::owner::AnswerView;
use crate::owner::CellOwner;
use crate::owner::FullReport;
use crate::owner::MergeError;
use crate::owner::OwningPhase;
use crate::owner::ReportView;

impl CellOwner<OwningPhase> {
    /// Merges a worker's answer into its full report, and evaluates that report.
    ///
    /// An answer to any session but the latest is ignored.
    ///
    /// # Errors
    ///
    /// [`MergeError`] when the answer does not produce a full report. The session then
    /// counts as one without a report, and the next one asks for a full report.
    pub fn observe_answer(&mut self, answer: &AnswerView<'_>) -> Result<(), MergeError> {
        let Some(tracked) = self.phase.workers.get_mut(answer.worker) else {
            return Ok(());
        };
        if !tracked.awaits(answer.ordinal) {
            return Ok(());
        }
        let mut full_report = std::mem::take(&mut tracked.full_report);
        if let Err(error) = full_report.merge(answer.changes) {
            tracked.awaiting_answer = false;
            return Err(error);
        }
        self.observe_report(&ReportView {
            worker: answer.worker,
            ordinal: answer.ordinal,
            asked: answer.asked,
            permit: answer.changes.mark.permit,
            tasks: full_report.tasks(),
        });
        if let Some(tracked) = self.phase.workers.get_mut(answer.worker) {
            tracked.full_report = full_report;
        }
        Ok(())
    }

    /// The latest merged full report of a worker; `None` for an unknown worker.
    #[must_use]
    pub fn full_report(&self, worker: &str) -> Option<&FullReport> {
        let tracked = self.phase.workers.get(worker)?;
        Some(&tracked.full_report)
    }

    /// Whether the worker did not answer the latest session.
    #[must_use]
    pub fn is_silent(&self, worker: &str) -> bool {
        let tracked = self.phase.workers.get(worker);
        tracked.is_some_and(|tracked| tracked.misses > 0)
    }
}
