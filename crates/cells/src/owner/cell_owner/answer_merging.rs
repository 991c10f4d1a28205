//! How an owner takes answers that say what has changed.

use crate::owner::AnswerView;
use crate::owner::CellOwner;
use crate::owner::MergeFault;
use crate::owner::OpenPhase;
use crate::owner::ReportView;
use crate::owner::WholeReport;

impl CellOwner<OpenPhase> {
    /// Merges a worker's answer into its whole report, and takes that in.
    ///
    /// An answer to any session but the latest asked for is dropped.
    ///
    /// # Errors
    ///
    /// [`MergeFault`] when the answer does not lead to a whole report. It is as if
    /// the session had no report; the next one asks for all.
    pub fn observe_answer(&mut self, answer: &AnswerView<'_>) -> Result<(), MergeFault> {
        let Some(view) = self.phase.workers.get_mut(answer.worker) else {
            return Ok(());
        };
        if !view.awaits(answer.ordinal) {
            return Ok(());
        }
        let mut whole = std::mem::take(&mut view.whole);
        if let Err(fault) = whole.merge(answer.changes) {
            view.asking = false;
            return Err(fault);
        }
        self.observe_report(&ReportView {
            worker: answer.worker,
            ordinal: answer.ordinal,
            asked: answer.asked,
            permit: answer.changes.mark.permit,
            tasks: whole.tasks(),
        });
        if let Some(view) = self.phase.workers.get_mut(answer.worker) {
            view.whole = whole;
        }
        Ok(())
    }

    /// The whole report of a worker that was merged last.
    #[must_use]
    pub fn whole_report(&self, worker: &str) -> Option<&WholeReport> {
        let view = self.phase.workers.get(worker)?;
        Some(&view.whole)
    }

    /// Whether the worker did not answer the session asked for last.
    #[must_use]
    pub fn is_silent(&self, worker: &str) -> bool {
        let view = self.phase.workers.get(worker);
        view.is_some_and(|view| view.misses > 0)
    }
}
