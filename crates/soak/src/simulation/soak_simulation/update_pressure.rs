//! Reported slowdowns of requests that share machines with workers, and the resulting
//! throttles.

use rand::Rng;

use crate::DaemonInstance;
use crate::FaultKind;
use crate::SoakSimulation;
use sapphirestile_cells::AttemptReport;
use sapphirestile_cells::SlowdownView;
use sapphirestile_core::CellNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;
use sapphirestile_placement::PressurePolicy;

/// Largest age of a reported measurement.
const LAG_MAX_MS: u64 = 6_000;
const REQUESTS: u64 = 100;
/// One of this many document revisions disables throttling.
const REVISIONS_PER_BAN: u64 = 4;
const RELEASE_AFTER_MS: u64 = 10_000;
/// Throttling is disabled once the faults have ended. By this time after that, every throttle
/// has to be lifted: it covers a new owner, its sessions and late calls.
const THROTTLE_END_MAX_MS: u64 = 40_000;

impl SoakSimulation {
    /// Reports a slowdown of the requests beside a random worker to the owner of the cell, up to
    /// `LAG_MAX_MS` late, and lets the owner decide on throttles.
    pub(super) fn update_pressure(&mut self, instance: DaemonInstance, cell: CellNumber) {
        let drawn = self.draw_fault(FaultKind::Pressure, 0.05);
        let slowdown_permille = self.rng.random_range(0..700);
        let lag_ms = self.rng.random_range(0..LAG_MAX_MS);
        let message = self.rng.random_range(self.now_ms..self.now_ms + LAG_MAX_MS);
        let worker = drawn.then(|| self.random_worker_of(cell)).flatten();
        let daemon = self.daemons[instance.index].identity();
        let clock = self.daemons[instance.index].clock(self.now_ms);
        let faults_ended = self.faults_ended;
        let Some(owned) = self.owned_cell(instance, cell) else {
            return;
        };
        let policy = pressure_policy(owned.document_revision).filter(|_| !faults_ended);
        owned.owner.set_pressure(policy);
        if let Some(worker) = worker {
            let measured_ms = clock.as_millis().saturating_sub(lag_ms);
            owned.owner.observe_slowdown(&SlowdownView {
                worker: worker.as_str(),
                daemon: &daemon,
                call: message,
                received: clock,
                measured: MonoTime::from_millis(measured_ms),
                slowdown_permille,
                requests: REQUESTS,
            });
        }
        owned.owner.decide_pressure(clock);
    }

    /// Checks that no task stays throttled after the faults, whoever set the throttle.
    pub(super) fn check_throttles(&mut self, tasks: &[AttemptReport]) {
        if self.now_ms < super::FAULTS_UNTIL_MS + THROTTLE_END_MAX_MS {
            return;
        }
        let mut throttled = tasks
            .iter()
            .filter(|report| report.throttle_cpu_milli.is_some());
        if let Some(report) = throttled.next() {
            let task = report.task.clone();
            self.report_violation(format!(
                "{task} is still throttled more than {THROTTLE_END_MAX_MS} ms \
                 after the end of all faults"
            ));
        }
    }

    fn random_worker_of(&mut self, cell: CellNumber) -> Option<WorkerName> {
        let of_cell = self.workers.values().filter(|worker| worker.cell == cell);
        let names: Vec<WorkerName> = of_cell.map(|worker| worker.name.clone()).collect();
        let index = self.rng.random_range(0..names.len().max(1));
        names.get(index).cloned()
    }
}

/// The policy of a document revision; `None` when that revision disables throttling.
fn pressure_policy(revision: u64) -> Option<PressurePolicy> {
    let banned = revision % REVISIONS_PER_BAN == REVISIONS_PER_BAN - 1;
    let policy = PressurePolicy {
        release_after_ms: RELEASE_AFTER_MS,
        ..PressurePolicy::default()
    };
    (!banned).then_some(policy)
}
