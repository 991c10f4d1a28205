//! A report that is due.

use sapphirestile_cells::AttemptReport;
use sapphirestile_cells::ReportView;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

/// What a worker reports in the session that is due.
pub struct DueReport {
    /// The worker.
    pub worker: WorkerName,
    /// Which session it answers; its permit has the same number.
    pub ordinal: u64,
    /// When that session was asked for.
    pub asked: MonoTime,
    /// Every attempt on the worker.
    pub tasks: Vec<AttemptReport>,
}

impl DueReport {
    /// The report as the owner takes it.
    pub fn view(&self) -> ReportView<'_> {
        ReportView {
            worker: self.worker.as_str(),
            ordinal: self.ordinal,
            asked: self.asked,
            permit: self.ordinal,
            tasks: &self.tasks,
        }
    }
}
