//! Urgent tasks when every worker is full.

use crate::owner_harness::OwnerHarness;
use crate::owner_harness::array_spec;
use crate::owner_harness::starts;
use sapphirestile_cells::ArraySpec;
use sapphirestile_cells::AttemptReport;
use sapphirestile_cells::AttemptStart;
use sapphirestile_cells::ReportedPhase;
use sapphirestile_core::ResourceSize;

/// Reports of both workers on the started tasks, each in the phase that `phase_of` gives.
fn reports<'s>(
    started: &'s [AttemptStart],
    phase_of: impl Fn(&AttemptStart) -> ReportedPhase,
) -> Vec<(&'s str, AttemptReport)> {
    let report = |start: &'s AttemptStart| {
        let attempt_report = AttemptReport {
            task: start.task.clone(),
            attempt: start.attempt,
            phase: phase_of(start),
            checkpoint_ms: 7_000,
            usage: ResourceSize::default(),
            throttle_cpu_milli: None,
        };
        (start.worker.as_str(), attempt_report)
    };
    started.iter().map(report).collect()
}

fn answer_starts(harness: &mut OwnerHarness, started: &[AttemptStart]) {
    for start in started {
        harness.owner.start_answered(start.worker.as_str());
    }
}

#[test]
fn one_backlog_task_is_evicted_and_resumes_from_its_checkpoint() {
    let mut harness = OwnerHarness::new();
    let started = harness.run("backlog", 16);
    assert_eq!(started.len(), 16, "both workers are full");
    answer_starts(&mut harness, &started);
    harness.renew(&reports(&started, |_| ReportedPhase::Running));

    let urgent = ArraySpec {
        urgent: true,
        ..array_spec("storm", 1)
    };
    harness.owner.submit_job(&urgent).unwrap();
    harness.plan();
    harness.commit();
    let stops = harness.stops();
    assert_eq!(stops.len(), 1);
    assert!(stops[0].checkpoint);
    harness.plan();
    assert!(
        harness.stops().is_empty(),
        "an eviction for the job is in progress"
    );
    assert_eq!(harness.owner.evictions(), 1);

    let stopped = stops[0].task.clone();
    harness.renew(&reports(&started, |start| {
        if start.task == stopped {
            ReportedPhase::Stopped
        } else {
            ReportedPhase::Running
        }
    }));
    harness.plan();
    let next = starts(harness.commit());
    assert_eq!(next.len(), 1, "the worker is reserved for the urgent task");
    assert_eq!(next[0].task.to_string(), "storm/0");
    assert_eq!(next[0].worker, stops[0].worker);

    // The evicted task resumes from its checkpoint when there is capacity again.
    answer_starts(&mut harness, &next);
    let mut reported = reports(&started, |_| ReportedPhase::Finished);
    reported.retain(|(_, attempt_report)| attempt_report.task != stopped);
    reported.extend(reports(&next, |_| ReportedPhase::Running));
    harness.renew(&reported);
    harness.plan();
    let again = starts(harness.commit());
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].task, stopped);
    assert_eq!((again[0].attempt.get(), again[0].checkpoint_ms), (2, 7_000));
}

#[test]
fn a_lost_stop_request_is_repeated() {
    let mut harness = OwnerHarness::new();
    let started = harness.run("backlog", 16);
    answer_starts(&mut harness, &started);
    let urgent = ArraySpec {
        urgent: true,
        ..array_spec("storm", 1)
    };
    harness.owner.submit_job(&urgent).unwrap();
    harness.renew(&reports(&started, |_| ReportedPhase::Running));
    harness.plan();
    harness.commit();
    let first = harness.stops();
    harness.renew(&reports(&started, |_| ReportedPhase::Running));
    assert_eq!(harness.stops(), first);
    assert_eq!(harness.owner.evictions(), 1, "it counts once");
}
