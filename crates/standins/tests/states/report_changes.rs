//! Incremental reports of a worker.

use test_case::test_case;

use crate::worker_harness::INCARNATION;
use crate::worker_harness::WorkerHarness;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;
use sapphirestile_standins::worker::ReportTracker;
use sapphirestile_wire::worker::KnownReport;
use sapphirestile_wire::worker::SessionReport;
use sapphirestile_wire::worker::TaskPhase;
use sapphirestile_wire::worker::TaskReport;

/// The maximum number of forgotten attempts that a worker keeps for reports.
const FORGOTTEN_MAX: u32 = 1_024;

/// A worker that runs two long tasks, whose usage is no longer unknown, and whose latest report
/// is named in later requests.
fn busy_harness() -> WorkerHarness {
    let mut harness = WorkerHarness::new();
    harness.lease_ms = 3_600_000;
    harness.renew(0, &[]).unwrap();
    for index in 0..2 {
        let start = harness.task_start(index, 1, 600_000);
        harness.start(0, &start).unwrap();
    }
    harness.renew(500, &[]).unwrap();
    harness.acknowledge();
    harness
}

fn indexes(report: &SessionReport) -> Vec<u32> {
    let tasks = report.tasks.iter();
    tasks.map(|task| task.task.index.get()).collect()
}

fn gone(report: &SessionReport) -> Vec<u32> {
    let names = report.gone.iter();
    names.map(|name| name.task.index.get()).collect()
}

#[test]
fn a_report_without_changes_names_no_task() {
    let mut harness = busy_harness();
    let report = harness.renew(59_000, &[]).unwrap();
    assert_eq!(report.base, harness.known.map(|known| known.permit));
    assert_eq!((indexes(&report), gone(&report)), (vec![], vec![]));
    assert_eq!((report.count, report.size), (2, None));
}

#[test]
fn changes_are_reported_until_a_report_with_them_is_acknowledged() {
    let mut harness = busy_harness();
    harness.stop(1_000, 1, 1, true).unwrap();
    assert_eq!(indexes(&harness.renew(2_000, &[]).unwrap()), [1]);
    assert_eq!(indexes(&harness.renew(3_000, &[]).unwrap()), [1]);
    harness.acknowledge();
    assert_eq!(indexes(&harness.renew(4_000, &[]).unwrap()), [] as [u32; 0]);
}

#[test]
fn a_forgotten_attempt_is_reported_until_a_report_without_it_is_acknowledged() {
    let mut harness = busy_harness();
    harness.stop(1_000, 1, 1, true).unwrap();
    harness.renew(2_000, &[]).unwrap();
    harness.acknowledge();
    assert_eq!(gone(&harness.renew(3_000, &[1]).unwrap()), [1]);
    let repeated = harness.renew(4_000, &[]).unwrap();
    assert_eq!((gone(&repeated), repeated.count), (vec![1], 1));
    harness.acknowledge();
    assert_eq!(gone(&harness.renew(5_000, &[]).unwrap()), [] as [u32; 0]);
}

#[test]
fn a_checkpoint_is_reported_again_after_a_minute_of_progress() {
    let mut harness = busy_harness();
    assert_eq!(
        indexes(&harness.renew(59_999, &[]).unwrap()),
        [] as [u32; 0]
    );
    let report = harness.renew(61_000, &[]).unwrap();
    assert_eq!(indexes(&report), [0, 1]);
    assert_eq!(report.tasks[0].checkpoint_ms, 61_000);
}

#[test_case(476, 0; "by less than a twentieth")]
#[test_case(474, 1; "by more")]
fn usage_is_reported_again_after_a_large_enough_change(cpu_milli: u64, reported_rows: usize) {
    let row = report_with_usage(500);
    let mut tracker = ReportTracker::default();
    tracker.update(1, vec![row.clone()], TaskReport::is_outdated_by);
    let later = report_with_usage(cpu_milli);
    tracker.update(2, vec![later], TaskReport::is_outdated_by);
    assert_eq!(tracker.changed_since(1).len(), reported_rows);
}

#[test]
fn a_throttle_is_reported_however_little_usage_changes() {
    let mut harness = busy_harness();
    harness.throttle(1_000, 0, 499).unwrap();
    let report = harness.renew(2_000, &[]).unwrap();
    let limits = report.tasks.iter().map(|row| row.throttle_cpu_milli);
    assert_eq!(limits.collect::<Vec<_>>(), [Some(499)]);
}

#[test]
fn a_later_incarnation_gives_full_reports() {
    let mut harness = busy_harness();
    let early = harness.known.unwrap();
    let later = IncarnationNumber::new(INCARNATION.get() + 1);
    harness.state.restart(MonoTime::from_millis(600), later);
    for now in 601..700 {
        let report = harness.renew(now, &[]).unwrap();
        assert_eq!((report.base, report.count), (None, 0));
    }
    assert!(harness.permit > early.permit);
}

#[test]
fn another_epoch_gets_full_reports() {
    let mut harness = busy_harness();
    harness.epoch = 2;
    assert_eq!(harness.renew(2_000, &[]).unwrap().base, None);
    assert_eq!(harness.renew(3_000, &[]).unwrap().base, None);
    harness.acknowledge();
    assert!(harness.renew(4_000, &[]).unwrap().base.is_some());
}

#[test]
fn a_known_report_of_another_incarnation_leads_to_a_full_report() {
    let mut harness = busy_harness();
    let incarnation = INCARNATION.next();
    harness.known = harness.known.map(|known| KnownReport {
        incarnation,
        ..known
    });
    assert_eq!(indexes(&harness.renew(2_000, &[]).unwrap()), [0, 1]);
}

/// A request that was delayed names an old report. The worker has dropped the attempts forgotten
/// since then, because a later report was acknowledged, so it cannot report the changes.
#[test]
fn a_delayed_request_gets_a_full_report() {
    let mut harness = busy_harness();
    let early = harness.known;
    harness.stop(1_000, 1, 1, true).unwrap();
    harness.renew(2_000, &[1]).unwrap();
    harness.acknowledge();
    harness.renew(3_000, &[]).unwrap();
    harness.known = early;
    let report = harness.renew(4_000, &[]).unwrap();
    assert_eq!((report.base, indexes(&report)), (None, vec![0]));
}

#[test]
fn too_many_attempts_forgotten_since_the_known_report_lead_to_a_full_report() {
    let mut harness = busy_harness();
    for index in 2..=FORGOTTEN_MAX + 2 {
        let start = harness.task_start(index, 1, 0);
        harness.start(1_000, &start).unwrap();
        harness.renew(1_000, &[]).unwrap();
        harness.renew(1_000, &[index]).unwrap();
        let is_incremental = index < FORGOTTEN_MAX + 2;
        let report = harness.renew(1_000, &[]).unwrap();
        assert_eq!(report.base.is_some(), is_incremental, "after {index}");
    }
}

/// A report of a running attempt with this CPU usage, in thousandths of a core.
fn report_with_usage(cpu_milli: u64) -> TaskReport {
    let start = WorkerHarness::new().task_start(0, 1, 600_000);
    TaskReport {
        task: start.task,
        attempt: start.attempt,
        phase: TaskPhase::Running,
        checkpoint_ms: 0,
        usage: ResourceSize {
            cpu_milli,
            ..ResourceSize::default()
        },
        usage_age_ms: 0,
        throttle_cpu_milli: None,
    }
}
