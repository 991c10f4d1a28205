//! Requests that are slowed beside workers, and the throttles that follow.

use rand::Rng;

use crate::FaultKind;
use crate::ProcessMark;
use crate::SoakWorld;
use sapphirestile_cells::AttemptReport;
use sapphirestile_cells::SlowdownView;
use sapphirestile_core::CellNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;
use sapphirestile_placement::PressurePolicy;

const LAG_MAX_MS: u64 = 6_000;
const REQUESTS: u64 = 100;
/// Operators want no throttling by one document of so many.
const DOCUMENTS_A_BAN: u64 = 4;
const RELEASE_AFTER_MS: u64 = 10_000;
/// When all faults are over operators want no throttling: time for an owner, its
/// sessions and late calls.
const LIFTED_WITHIN_MS: u64 = 40_000;

impl SoakWorld {
    /// Tells the owner of a cell what requests beside one of its workers suffer,
    /// late, and has it decide.
    pub(super) fn press(&mut self, mark: ProcessMark, cell: CellNumber) {
        let drawn = self.draws(FaultKind::Pressure, 0.05);
        let slowdown_permille = self.rng.random_range(0..700);
        let lag_ms = self.rng.random_range(0..LAG_MAX_MS);
        let message = self.rng.random_range(self.now..self.now + LAG_MAX_MS);
        let worker = drawn.then(|| self.any_worker_of(cell)).flatten();
        let sender = self.daemons[mark.place].identity();
        let clock = self.daemons[mark.place].clock(self.now);
        let healed = self.healed;
        let Some(seat) = self.open_seat(mark, cell) else {
            return;
        };
        let bounds = policy(seat.revision).filter(|_| !healed);
        seat.owner.set_pressure(bounds);
        if let Some(worker) = worker {
            let measured_ms = clock.as_millis().saturating_sub(lag_ms);
            seat.owner.observe_slowdown(&SlowdownView {
                worker: worker.as_str(),
                daemon: &sender,
                call: message,
                received: clock,
                measured: MonoTime::from_millis(measured_ms),
                slowdown_permille,
                requests: REQUESTS,
            });
        }
        seat.owner.decide_pressure(clock);
    }

    /// No task stays throttled for ever, whoever owned its cell.
    pub(super) fn check_throttles(&mut self, tasks: &[AttemptReport]) {
        if self.now < super::FAULTS_UNTIL_MS + LIFTED_WITHIN_MS {
            return;
        }
        let mut throttled = tasks
            .iter()
            .filter(|sighting| sighting.throttle_cpu_milli.is_some());
        if let Some(sighting) = throttled.next() {
            let task = sighting.task.clone();
            self.broken(format!("{task} is still throttled"));
        }
    }

    fn any_worker_of(&mut self, cell: CellNumber) -> Option<WorkerName> {
        let of_cell = self.workers.values().filter(|worker| worker.cell == cell);
        let names: Vec<WorkerName> = of_cell.map(|worker| worker.name.clone()).collect();
        let place = self.rng.random_range(0..names.len().max(1));
        names.get(place).cloned()
    }
}

fn policy(revision: u64) -> Option<PressurePolicy> {
    let banned = revision % DOCUMENTS_A_BAN == DOCUMENTS_A_BAN - 1;
    let policy = PressurePolicy {
        release_after_ms: RELEASE_AFTER_MS,
        ..PressurePolicy::default()
    };
    (!banned).then_some(policy)
}
