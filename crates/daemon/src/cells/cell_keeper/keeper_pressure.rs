//! What a keeper does about batch tasks that slow services.

use crate::cells::CellKeeper;
use crate::cells::ThrottleDump;
use sapphirestile_cells::CellEffect;
use sapphirestile_cells::SlowdownView;
use sapphirestile_core::ColocationEntry;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::MonoTime;
use sapphirestile_placement::PressurePolicy;
use sapphirestile_wire::api::WorkerPressure;
use sapphirestile_wire::peer::WorkerSlowdown;

impl CellKeeper {
    pub(super) fn take_slowdowns(
        &mut self,
        daemon: &DaemonIdentity,
        call: u64,
        received: MonoTime,
        rows: &[WorkerSlowdown],
    ) {
        for row in rows {
            let measured_ms = received.as_millis().saturating_sub(row.age_ms.into());
            self.owner.observe_slowdown(&SlowdownView {
                worker: row.worker.as_str(),
                daemon,
                call,
                received,
                measured: MonoTime::from_millis(measured_ms),
                slowdown_permille: row.slowdown_permille.into(),
                requests: row.requests.into(),
            });
        }
    }

    /// Takes the bounds of the document.
    pub(super) fn set_pressure(&mut self, entry: &ColocationEntry) {
        let policy = PressurePolicy {
            high_permille: entry.high_permille,
            low_permille: entry.low_permille,
            ..PressurePolicy::default()
        };
        self.owner.set_pressure(entry.throttle.then_some(policy));
    }

    pub(super) fn press(&mut self) {
        let now = self.context.clock.now();
        if !self.stopping {
            self.owner.decide_pressure(now);
        }
        for order in self.owner.due_throttles() {
            self.call_worker(CellEffect::Throttle(order));
        }
        self.count_throttles();
    }

    /// Shows the throttles of this cell in the metrics of the daemon.
    pub(super) fn count_throttles(&mut self) {
        let decided = self.owner.throttled();
        let in_force = i64::try_from(self.owner.throttles().count()).unwrap_or(i64::MAX);
        let metrics = &self.context.metrics;
        metrics.throttles.inc_by(decided - self.throttled);
        metrics.throttled_tasks.inc_by(in_force - self.in_force);
        self.throttled = decided;
        self.in_force = in_force;
    }

    /// Takes this cell's throttles out of the metrics.
    pub(super) fn forget_throttles(&mut self) {
        self.context.metrics.throttled_tasks.dec_by(self.in_force);
        self.in_force = 0;
    }

    pub(super) fn throttle_dumps(&self) -> Vec<ThrottleDump> {
        let rows = self.owner.throttles();
        rows.map(|(task, row)| ThrottleDump {
            task: task.clone(),
            worker: row.worker.clone(),
            permille: row.permille,
            in_effect: row.confirmed,
            cause: row.cause.clone(),
        })
        .collect()
    }

    pub(super) fn pressures(&self) -> Vec<WorkerPressure> {
        let now = self.context.clock.now();
        let rows = self.owner.slowdowns(now);
        rows.map(|(worker, combined)| {
            let throttled = self.owner.throttles();
            let there = throttled.filter(|(_, row)| row.worker == *worker).count();
            WorkerPressure {
                worker: worker.clone(),
                slowdown_permille: combined.slowdown_permille,
                requests: combined.requests,
                daemons: combined.daemons,
                throttled: u32::try_from(there).unwrap_or(u32::MAX),
            }
        })
        .collect()
    }
}
