//! The reports of a worker in response to session requests.

use crate::worker::AttemptState;
use crate::worker::WorkerState;
use crate::worker::worker_state::AttemptKey;
use sapphirestile_core::MonoTime;
use sapphirestile_wire::worker::SessionReport;
use sapphirestile_wire::worker::SessionRequest;
use sapphirestile_wire::worker::TaskPhase;
use sapphirestile_wire::worker::TaskReport;

impl WorkerState {
    /// The current state of every attempt at `now`: the running ones, and the ended ones that
    /// were not yet settled. Usage is reported with the lag of the settings.
    #[must_use]
    pub fn reports(&self, now: MonoTime) -> Vec<TaskReport> {
        let rows = self.attempts.iter();
        rows.map(|(key, attempt)| self.report(now, key, attempt))
            .collect()
    }

    /// The report that goes with `permit`: incremental when possible, otherwise full.
    pub(super) fn session_report(
        &mut self,
        now: MonoTime,
        permit: u64,
        request: &SessionRequest,
    ) -> SessionReport {
        let reports = self.reports(now);
        if let Some(base) = self.incremental_base(request) {
            self.counts.incremental += 1;
            self.tracker
                .update(permit, reports, TaskReport::is_outdated_by);
            return self.incremental_report(permit, base);
        }
        self.counts.full += 1;
        self.tracker.update(permit, reports, TaskReport::ne);
        self.full_report(permit)
    }

    /// The number of the report that the request names, when the changes since are known: it was
    /// given by this incarnation under the same epoch, and is recent enough.
    fn incremental_base(&self, request: &SessionRequest) -> Option<u64> {
        let known = request.known?;
        let first_permit = self.sessions.first_permit(request)?;
        let is_covered = known.incarnation == self.incarnation
            && known.permit >= first_permit
            && self.tracker.covers(known.permit);
        is_covered.then_some(known.permit)
    }

    fn incremental_report(&mut self, permit: u64, base: u64) -> SessionReport {
        self.tracker.acknowledge(base);
        SessionReport {
            permit,
            incarnation: self.incarnation,
            base: Some(base),
            count: self.tracker.count(),
            size: None,
            tasks: self.tracker.changed_since(base),
            gone: self.tracker.forgotten_since(base),
        }
    }

    fn full_report(&self, permit: u64) -> SessionReport {
        SessionReport {
            permit,
            incarnation: self.incarnation,
            base: None,
            count: self.tracker.count(),
            size: Some(self.settings.size),
            tasks: self.tracker.all(),
            gone: Vec::new(),
        }
    }

    fn report(&self, now: MonoTime, key: &AttemptKey, attempt: &AttemptState) -> TaskReport {
        let lag_ms = self.settings.usage_lag_ms;
        let mut throttle_cpu_milli = None;
        let (phase, checkpoint_ms, usage) = match attempt {
            AttemptState::Running(cycle) => {
                throttle_cpu_milli = cycle.limit_cpu_milli();
                let covered_ms = cycle.checkpoint_ms(now, self.settings.checkpoint_every_ms);
                (TaskPhase::Running, covered_ms, cycle.usage())
            }
            AttemptState::Ended(cycle) => (cycle.outcome(), cycle.checkpoint_ms(), cycle.usage()),
        };
        TaskReport {
            task: key.0.clone(),
            attempt: key.1,
            phase,
            checkpoint_ms,
            usage: usage.reported(now, lag_ms),
            usage_age_ms: lag_ms,
            throttle_cpu_milli,
        }
    }
}
