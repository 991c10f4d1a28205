//! Large tasks among small ones that never end.

use crate::owner_bench::OwnerBench;
use crate::owner_bench::order;
use crate::owner_bench::starts;
use sapphirestile_cells::JobOrder;
use sapphirestile_cells::SightedPhase;
use sapphirestile_cells::StartOrder;
use sapphirestile_cells::TaskSighting;
use sapphirestile_core::JobName;
use sapphirestile_core::ResourceSize;

const WHOLE_WORKER: ResourceSize = ResourceSize {
    cpu_milli: 8_000,
    memory_mb: 1_000,
    accelerators: 0,
};
const BEFORE_HOLD_S: u32 = 110;
const AFTER_HOLD_S: u32 = 30;

/// Both workers are full of small tasks, of which one ends each second.
struct BusyCell {
    bench: OwnerBench,
    running: Vec<StartOrder>,
}

impl BusyCell {
    fn new() -> Self {
        let mut bench = OwnerBench::new();
        let running = bench.run("small", 400);
        let mut cell = Self {
            bench,
            running: Vec::new(),
        };
        cell.take(running);
        assert_eq!(cell.running.len(), 16, "both workers are full");
        cell
    }

    fn take(&mut self, begun: Vec<StartOrder>) {
        for start in &begun {
            self.bench.owner.start_answered(start.worker.as_str());
        }
        self.running.extend(begun);
    }

    /// One second: the earliest task has ended, and what finds room starts.
    fn pass(&mut self) -> Vec<String> {
        let ended = self.running.remove(0);
        let mut shown = vec![sight(&ended, SightedPhase::Finished)];
        shown.extend(
            self.running
                .iter()
                .map(|start| sight(start, SightedPhase::Running)),
        );
        self.bench.renew(&shown);
        self.bench.plan();
        let begun = starts(self.bench.commit());
        let names = begun.iter().map(|start| start.task.job.to_string());
        let names = names.collect();
        self.take(begun);
        names
    }
}

fn sight(start: &StartOrder, phase: SightedPhase) -> (&str, TaskSighting) {
    let sighting = TaskSighting {
        task: start.task.clone(),
        attempt: start.attempt,
        phase,
        checkpoint_ms: 0,
        usage: ResourceSize::default(),
        throttle_cpu_milli: None,
    };
    (start.worker.as_str(), sighting)
}

#[test]
fn a_large_task_is_not_passed_by_small_ones_for_ever() {
    let mut cell = BusyCell::new();
    let large = JobOrder {
        size: WHOLE_WORKER,
        ..order("large", 1)
    };
    cell.bench.owner.submit_job(&large).unwrap();
    for _ in 0..BEFORE_HOLD_S {
        assert_eq!(cell.pass(), ["small"], "no worker is held yet");
    }
    let mut begun = Vec::new();
    for _ in 0..AFTER_HOLD_S {
        begun.extend(cell.pass());
    }
    assert!(begun.contains(&"large".to_owned()), "{begun:?}");
}

#[test]
fn a_cancelled_job_lets_its_worker_go() {
    let mut cell = BusyCell::new();
    let large = JobOrder {
        size: WHOLE_WORKER,
        ..order("large", 1)
    };
    cell.bench.owner.submit_job(&large).unwrap();
    while cell.pass() == ["small"] {}
    let name = JobName::try_from("large").unwrap();
    let reason = cell.bench.owner.waiting_reason(&name).unwrap_or_default();
    assert!(
        reason.ends_with("is held for it until it has room"),
        "{reason}"
    );
    cell.bench.owner.cancel_job(&name).unwrap();
    let mut begun = 0;
    for _ in 0..AFTER_HOLD_S {
        begun += cell.pass().len();
    }
    assert!(
        begun >= AFTER_HOLD_S as usize,
        "both workers are full again"
    );
}
