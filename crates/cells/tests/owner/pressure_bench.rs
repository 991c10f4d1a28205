//! An owner of a task that may slow the requests beside it.

use crate::owner_bench::OwnerBench;
use crate::owner_bench::sighting;
use crate::owner_bench::task;
use crate::owner_bench::worker_name;
use sapphirestile_cells::SightedPhase;
use sapphirestile_cells::SlowdownView;
use sapphirestile_cells::TaskSighting;
use sapphirestile_cells::ThrottleOrder;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::DaemonName;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_placement::PressurePolicy;

pub const LOUD: u64 = 600;
pub const CALM: u64 = 20;

/// An owner with a task of `spins` on w1, of which a report was seen.
pub fn running_bench() -> OwnerBench {
    let mut bench = OwnerBench::new();
    bench.owner.set_pressure(Some(PressurePolicy::default()));
    bench.run("spins", 1);
    bench.owner.start_answered("w1");
    show(&mut bench, None);
    bench
}

/// The same, with the task throttled to 300 thousandths and shown so.
pub fn throttled_bench() -> OwnerBench {
    let mut bench = running_bench();
    hear(&mut bench, "entry-1", 1, LOUD, 100);
    assert_eq!(bench.owner.due_throttles(), [throttle(&bench, 300)]);
    show(&mut bench, Some(300));
    bench
}

pub fn spins(limit: Option<u64>) -> TaskSighting {
    TaskSighting {
        throttle_cpu_milli: limit,
        ..sighting("spins", 1, SightedPhase::Running, 500)
    }
}

/// Renews the sessions; w1 shows the task with this limit.
pub fn show(bench: &mut OwnerBench, limit: Option<u64>) {
    bench.renew(&[("w1", spins(limit))]);
}

/// A daemon's measurement beside w1, a second long, and the decision on it.
pub fn hear(
    bench: &mut OwnerBench,
    daemon: &str,
    call: u64,
    slowdown_permille: u64,
    requests: u64,
) {
    let measured = bench.now.plus_millis(1);
    bench.wait(1_000);
    hear_since(
        bench,
        daemon,
        &SlowdownRow {
            call,
            measured,
            slowdown_permille,
            requests,
        },
    );
}

/// A measurement that a daemon began at some time and tells now.
pub struct SlowdownRow {
    pub call: u64,
    pub measured: MonoTime,
    pub slowdown_permille: u64,
    pub requests: u64,
}

pub fn hear_since(bench: &mut OwnerBench, daemon: &str, row: &SlowdownRow) {
    let identity = DaemonIdentity {
        daemon: DaemonName::try_from(daemon).unwrap(),
        incarnation: IncarnationNumber::new(1),
    };
    bench.owner.observe_slowdown(&SlowdownView {
        worker: "w1",
        daemon: &identity,
        call: row.call,
        received: bench.now,
        measured: row.measured,
        slowdown_permille: row.slowdown_permille,
        requests: row.requests,
    });
    bench.owner.decide_pressure(bench.now);
}

pub fn throttle(bench: &OwnerBench, cpu_milli: u64) -> ThrottleOrder {
    ThrottleOrder {
        worker: worker_name("w1"),
        epoch: bench.epoch(),
        task: task("spins", 0),
        attempt: AttemptNumber::new(1),
        cpu_milli,
    }
}

pub fn noted(bench: &OwnerBench, text: &str) -> bool {
    let mut notes = bench.owner.decisions().notes();
    notes.any(|note| note.text.contains(text))
}

/// The next owner of a cell whose task was throttled by the one before.
pub fn adopted_bench(policy: Option<PressurePolicy>) -> OwnerBench {
    let before = throttled_bench();
    let mut bench = OwnerBench::adopt(before.journal, 2);
    bench.owner.set_pressure(policy);
    show(&mut bench, Some(300));
    bench
}
