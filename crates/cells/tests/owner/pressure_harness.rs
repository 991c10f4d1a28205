//! A harness with a task that may slow the requests next to it.

use crate::owner_harness::OwnerHarness;
use crate::owner_harness::attempt_report;
use crate::owner_harness::task;
use crate::owner_harness::worker_name;
use sapphirestile_cells::AttemptReport;
use sapphirestile_cells::ReportedPhase;
use sapphirestile_cells::SlowdownView;
use sapphirestile_cells::ThrottleRequest;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::DaemonName;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_placement::PressurePolicy;

pub const SLOWED_PERMILLE: u64 = 600;
pub const UNDISTURBED_PERMILLE: u64 = 20;

/// An owner with a running task of job `spins` on w1 that was reported once.
pub fn running_harness() -> OwnerHarness {
    let mut harness = OwnerHarness::new();
    harness.owner.set_pressure(Some(PressurePolicy::default()));
    harness.run("spins", 1);
    harness.owner.start_answered("w1");
    renew_with_limit(&mut harness, None);
    harness
}

/// The same, with the task throttled to 300 permille, as confirmed by a report.
pub fn throttled_harness() -> OwnerHarness {
    let mut harness = running_harness();
    measure_and_decide(&mut harness, "entry-1", 1, SLOWED_PERMILLE, 100);
    assert_eq!(harness.owner.due_throttles(), [throttle(&harness, 300)]);
    renew_with_limit(&mut harness, Some(300));
    harness
}

pub fn spins(limit: Option<u64>) -> AttemptReport {
    AttemptReport {
        throttle_cpu_milli: limit,
        ..attempt_report("spins", 1, ReportedPhase::Running, 500)
    }
}

/// Renews the sessions; w1 reports the task with this limit.
pub fn renew_with_limit(harness: &mut OwnerHarness, limit: Option<u64>) {
    harness.renew(&[("w1", spins(limit))]);
}

/// Sends a daemon's measurement next to w1, one second long, and runs the decision.
pub fn measure_and_decide(
    harness: &mut OwnerHarness,
    daemon: &str,
    call: u64,
    slowdown_permille: u64,
    requests: u64,
) {
    let measured = harness.now.plus_millis(1);
    harness.wait(1_000);
    send_sample(
        harness,
        daemon,
        &SlowdownSample {
            call,
            measured,
            slowdown_permille,
            requests,
        },
    );
}

/// A measurement that began at `measured` and is sent now.
pub struct SlowdownSample {
    pub call: u64,
    pub measured: MonoTime,
    pub slowdown_permille: u64,
    pub requests: u64,
}

pub fn send_sample(harness: &mut OwnerHarness, daemon: &str, sample: &SlowdownSample) {
    let identity = DaemonIdentity {
        daemon: DaemonName::try_from(daemon).unwrap(),
        incarnation: IncarnationNumber::new(1),
    };
    harness.owner.observe_slowdown(&SlowdownView {
        worker: "w1",
        daemon: &identity,
        call: sample.call,
        received: harness.now,
        measured: sample.measured,
        slowdown_permille: sample.slowdown_permille,
        requests: sample.requests,
    });
    harness.owner.decide_pressure(harness.now);
}

pub fn throttle(harness: &OwnerHarness, cpu_milli: u64) -> ThrottleRequest {
    ThrottleRequest {
        worker: worker_name("w1"),
        epoch: harness.epoch(),
        task: task("spins", 0),
        attempt: AttemptNumber::new(1),
        cpu_milli,
    }
}

pub fn is_logged(harness: &OwnerHarness, text: &str) -> bool {
    let mut decisions = harness.owner.decisions().records();
    decisions.any(|decision| decision.text.contains(text))
}

/// The next owner of a cell whose task was throttled by the previous owner.
pub fn adopted_harness(policy: Option<PressurePolicy>) -> OwnerHarness {
    let before = throttled_harness();
    let mut harness = OwnerHarness::adopt(before.journal, 2);
    harness.owner.set_pressure(policy);
    renew_with_limit(&mut harness, Some(300));
    harness
}
