//! What a worker answers to a session.

use crate::worker::TaskEntry;
use crate::worker::WorkerState;
use crate::worker::worker_state::AttemptKey;
use sapphirestile_core::MonoTime;
use sapphirestile_wire::worker::SessionReport;
use sapphirestile_wire::worker::SessionRequest;
use sapphirestile_wire::worker::TaskPhase;
use sapphirestile_wire::worker::TaskReport;

impl WorkerState {
    /// Every attempt as it is at `now`, ended ones until they are forgotten.
    #[must_use]
    pub fn reports(&self, now: MonoTime) -> Vec<TaskReport> {
        let rows = self.attempts.iter();
        rows.map(|(key, entry)| self.report(now, key, entry))
            .collect()
    }

    pub(super) fn session_report(
        &mut self,
        now: MonoTime,
        permit: u64,
        request: &SessionRequest,
    ) -> SessionReport {
        let reports = self.reports(now);
        if let Some(base) = self.base_of(request) {
            self.counts.changes += 1;
            self.book
                .update(permit, reports, TaskReport::is_outdated_by);
            return self.report_changes(permit, base);
        }
        self.counts.all += 1;
        self.book.update(permit, reports, TaskReport::ne);
        self.report_all(permit)
    }

    /// The report that the request names, when the changes since can be told.
    fn base_of(&self, request: &SessionRequest) -> Option<u64> {
        let known = request.known?;
        let opened = self.sessions.opened(request)?;
        let told = known.incarnation == self.incarnation
            && known.permit >= opened
            && self.book.reaches_back_to(known.permit);
        told.then_some(known.permit)
    }

    fn report_changes(&mut self, permit: u64, base: u64) -> SessionReport {
        self.book.confirm(base);
        SessionReport {
            permit,
            incarnation: self.incarnation,
            base: Some(base),
            count: self.book.count(),
            size: None,
            tasks: self.book.changed_since(base),
            gone: self.book.gone_since(base),
        }
    }

    fn report_all(&self, permit: u64) -> SessionReport {
        SessionReport {
            permit,
            incarnation: self.incarnation,
            base: None,
            count: self.book.count(),
            size: Some(self.settings.size),
            tasks: self.book.all(),
            gone: Vec::new(),
        }
    }

    fn report(&self, now: MonoTime, key: &AttemptKey, entry: &TaskEntry) -> TaskReport {
        let lag_ms = self.settings.usage_lag_ms;
        let mut throttle_cpu_milli = None;
        let (phase, checkpoint_ms, usage) = match entry {
            TaskEntry::Running(cycle) => {
                throttle_cpu_milli = cycle.limit_cpu_milli();
                let covered_ms = cycle.checkpoint_ms(now, self.settings.checkpoint_every_ms);
                (TaskPhase::Running, covered_ms, cycle.usage())
            }
            TaskEntry::Ended(cycle) => (cycle.outcome(), cycle.checkpoint_ms(), cycle.usage()),
        };
        TaskReport {
            task: key.0.clone(),
            attempt: key.1,
            phase,
            checkpoint_ms,
            usage: usage.seen(now, lag_ms),
            usage_age_ms: lag_ms,
            throttle_cpu_milli,
        }
    }
}
