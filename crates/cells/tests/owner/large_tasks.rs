//! Large tasks among an endless supply of small ones.

use crate::owner_harness::OwnerHarness;
use crate::owner_harness::array_spec;
use crate::owner_harness::starts;
use sapphirestile_cells::ArraySpec;
use sapphirestile_cells::AttemptReport;
use sapphirestile_cells::AttemptStart;
use sapphirestile_cells::ReportedPhase;
use sapphirestile_core::JobName;
use sapphirestile_core::ResourceSize;

const WHOLE_WORKER: ResourceSize = ResourceSize {
    cpu_milli: 8_000,
    memory_mb: 1_000,
    accelerators: 0,
};
const BEFORE_RESERVATION_S: u32 = 110;
const AFTER_RESERVATION_S: u32 = 30;

/// Two workers full of small tasks, of which one ends each second.
struct BusyCell {
    harness: OwnerHarness,
    running: Vec<AttemptStart>,
}

impl BusyCell {
    fn new() -> Self {
        let mut harness = OwnerHarness::new();
        let running = harness.run("small", 400);
        let mut cell = Self {
            harness,
            running: Vec::new(),
        };
        cell.take(running);
        assert_eq!(cell.running.len(), 16, "both workers are full");
        cell
    }

    fn take(&mut self, started: Vec<AttemptStart>) {
        for start in &started {
            self.harness.owner.start_answered(start.worker.as_str());
        }
        self.running.extend(started);
    }

    /// Advances one second: the earliest task ends and tasks that fit are started. Returns
    /// their jobs.
    fn advance_second(&mut self) -> Vec<String> {
        let ended = self.running.remove(0);
        let mut reported = vec![report_for(&ended, ReportedPhase::Finished)];
        reported.extend(
            self.running
                .iter()
                .map(|start| report_for(start, ReportedPhase::Running)),
        );
        self.harness.renew(&reported);
        self.harness.plan();
        let started = starts(self.harness.commit());
        let names = started.iter().map(|start| start.task.job.to_string());
        let names = names.collect();
        self.take(started);
        names
    }
}

fn report_for(start: &AttemptStart, phase: ReportedPhase) -> (&str, AttemptReport) {
    let attempt_report = AttemptReport {
        task: start.task.clone(),
        attempt: start.attempt,
        phase,
        checkpoint_ms: 0,
        usage: ResourceSize::default(),
        throttle_cpu_milli: None,
    };
    (start.worker.as_str(), attempt_report)
}

#[test]
fn a_large_task_is_not_starved_by_small_ones() {
    let mut cell = BusyCell::new();
    let large = ArraySpec {
        size: WHOLE_WORKER,
        ..array_spec("large", 1)
    };
    cell.harness.owner.submit_job(&large).unwrap();
    for _ in 0..BEFORE_RESERVATION_S {
        assert_eq!(
            cell.advance_second(),
            ["small"],
            "no worker is reserved yet"
        );
    }
    let mut started = Vec::new();
    for _ in 0..AFTER_RESERVATION_S {
        started.extend(cell.advance_second());
    }
    assert!(started.contains(&"large".to_owned()), "{started:?}");
}

#[test]
fn cancelling_a_job_releases_its_reserved_worker() {
    let mut cell = BusyCell::new();
    let large = ArraySpec {
        size: WHOLE_WORKER,
        ..array_spec("large", 1)
    };
    cell.harness.owner.submit_job(&large).unwrap();
    while cell.advance_second() == ["small"] {}
    let name = JobName::try_from("large").unwrap();
    let reason = cell.harness.owner.waiting_reason(&name).unwrap_or_default();
    assert!(
        reason.ends_with("is reserved for it until it has capacity"),
        "{reason}"
    );
    cell.harness.owner.cancel_job(&name).unwrap();
    let mut started = 0;
    for _ in 0..AFTER_RESERVATION_S {
        started += cell.advance_second().len();
    }
    assert!(
        started >= AFTER_RESERVATION_S as usize,
        "both workers are full again"
    );
}
