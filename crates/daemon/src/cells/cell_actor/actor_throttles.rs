//! Throttling of batch tasks that slow down services on the same machine.

use crate::cells::CellActor;
use crate::cells::ThrottleDump;
use sapphirestile_cells::CellEffect;
use sapphirestile_cells::SlowdownView;
use sapphirestile_core::ColocationEntry;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::MonoTime;
use sapphirestile_placement::PressurePolicy;
use sapphirestile_wire::api::WorkerPressure;
use sapphirestile_wire::peer::WorkerSlowdown;

impl CellActor {
    pub(super) fn observe_slowdowns(
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

    /// Sets the thresholds of the configuration; throttling is off when it disables it.
    pub(super) fn set_pressure(&mut self, entry: &ColocationEntry) {
        let policy = PressurePolicy {
            high_permille: entry.high_permille,
            low_permille: entry.low_permille,
            ..PressurePolicy::default()
        };
        self.owner.set_pressure(entry.throttle.then_some(policy));
    }

    /// Decides throttles and sends those that are due. A cell that is being released decides
    /// no more throttles.
    pub(super) fn throttle_tasks(&mut self) {
        let now = self.context.clock.now();
        if !self.stopping {
            self.owner.decide_pressure(now);
        }
        for request in self.owner.due_throttles() {
            self.call_worker(CellEffect::Throttle(request));
        }
        self.update_throttle_metrics();
    }

    /// Adds the changes of this cell's throttles to the daemon's metrics.
    pub(super) fn update_throttle_metrics(&mut self) {
        let decided = self.owner.throttled();
        let in_force = i64::try_from(self.owner.throttles().count()).unwrap_or(i64::MAX);
        let metrics = &self.context.metrics;
        metrics.throttles.inc_by(decided - self.counted_throttles);
        metrics
            .throttled_tasks
            .inc_by(in_force - self.shown_throttles);
        self.counted_throttles = decided;
        self.shown_throttles = in_force;
    }

    /// Removes this cell's throttles from the daemon's metrics.
    pub(super) fn remove_throttle_metrics(&mut self) {
        self.context
            .metrics
            .throttled_tasks
            .dec_by(self.shown_throttles);
        self.shown_throttles = 0;
    }

    pub(super) fn throttle_dumps(&self) -> Vec<ThrottleDump> {
        let throttles = self.owner.throttles();
        throttles
            .map(|(task, throttle)| ThrottleDump {
                task: task.clone(),
                worker: throttle.worker.clone(),
                permille: throttle.permille,
                in_effect: throttle.confirmed,
                cause: throttle.cause.clone(),
            })
            .collect()
    }

    pub(super) fn pressures(&self) -> Vec<WorkerPressure> {
        let now = self.context.clock.now();
        let slowdowns = self.owner.slowdowns(now);
        slowdowns
            .map(|(worker, combined)| {
                let throttles = self.owner.throttles();
                let on_worker = throttles
                    .filter(|(_, throttle)| throttle.worker == *worker)
                    .count();
                WorkerPressure {
                    worker: worker.clone(),
                    slowdown_permille: combined.slowdown_permille,
                    requests: combined.requests,
                    daemons: combined.daemons,
                    throttled: u32::try_from(on_worker).unwrap_or(u32::MAX),
                }
            })
            .collect()
    }
}
