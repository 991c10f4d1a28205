//! Merging of answers that report changes.

use test_case::test_case;

use crate::owner_harness::OwnerHarness;
use crate::owner_harness::attempt_report;
use crate::owner_harness::task;
use sapphirestile_cells::AnswerView;
use sapphirestile_cells::AttemptReport;
use sapphirestile_cells::CellTransition;
use sapphirestile_cells::FullReport;
use sapphirestile_cells::GoneAttempt;
use sapphirestile_cells::MergeError;
use sapphirestile_cells::ReportChanges;
use sapphirestile_cells::ReportMark;
use sapphirestile_cells::ReportedPhase;
use sapphirestile_cells::SessionRenewal;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::IncarnationNumber;

const INCARNATION: IncarnationNumber = IncarnationNumber::new(7);

const fn mark(permit: u64) -> ReportMark {
    ReportMark {
        incarnation: INCARNATION,
        permit,
    }
}

fn all(permit: u64, tasks: &[AttemptReport]) -> ReportChanges {
    ReportChanges {
        mark: mark(permit),
        base: None,
        count: u32::try_from(tasks.len()).unwrap(),
        changed: tasks.to_vec(),
        gone: Vec::new(),
    }
}

fn since(base: u64, permit: u64, count: u32, changed: &[AttemptReport]) -> ReportChanges {
    ReportChanges {
        base: Some(base),
        count,
        ..all(permit, changed)
    }
}

fn running(job: &str, checkpoint_ms: u64) -> AttemptReport {
    attempt_report(job, 1, ReportedPhase::Running, checkpoint_ms)
}

fn gone(job: &str) -> GoneAttempt {
    GoneAttempt {
        task: task(job, 0),
        attempt: AttemptNumber::new(1),
    }
}

/// The next session with `w1`, a second later.
fn next_session(harness: &mut OwnerHarness) -> SessionRenewal {
    harness.wait(1_000);
    let mut sessions = harness.sessions().into_iter();
    sessions
        .find(|session| session.worker.as_str() == "w1")
        .unwrap()
}

fn answer(
    harness: &mut OwnerHarness,
    session: &SessionRenewal,
    changes: &ReportChanges,
) -> Result<(), MergeError> {
    let asked = harness.now;
    harness.owner.observe_answer(&AnswerView {
        worker: "w1",
        ordinal: session.ordinal,
        asked,
        changes,
    })
}

/// A cell with a task running on `w1` that was in its report with permit 10.
fn running_cell() -> OwnerHarness {
    let mut harness = OwnerHarness::new();
    harness.run("spins", 1);
    harness.owner.start_answered("w1");
    let session = next_session(&mut harness);
    let reported = all(10, &[running("spins", 0)]);
    assert_eq!(answer(&mut harness, &session, &reported), Ok(()));
    harness
}

#[test]
fn merged_changes_equal_the_full_report() {
    let mut full_report = FullReport::default();
    full_report
        .merge(&all(1, &[running("b", 0), running("a", 0)]))
        .unwrap();
    let mut changes = since(1, 4, 2, &[running("c", 5), running("b", 60_000)]);
    changes.gone = vec![gone("a"), gone("never-reported")];
    full_report.merge(&changes).unwrap();
    assert_eq!(full_report.tasks(), [running("b", 60_000), running("c", 5)]);
    assert_eq!(full_report.mark(), Some(mark(4)));
}

#[test]
fn an_attempt_that_is_gone_and_changed_is_kept() {
    let mut full_report = FullReport::default();
    full_report.merge(&all(1, &[running("a", 0)])).unwrap();
    let mut changes = since(1, 4, 1, &[running("a", 9)]);
    changes.gone = vec![gone("a")];
    full_report.merge(&changes).unwrap();
    assert_eq!(full_report.tasks(), [running("a", 9)]);
}

#[test_case(&since(9, 11, 1, &[]), MergeError::OtherBase; "of an earlier report")]
#[test_case(&since(11, 12, 1, &[]), MergeError::OtherBase; "of a report that was lost")]
#[test_case(&since(10, 11, 2, &[]), MergeError::OtherCount; "with an attempt missing")]
#[test_case(&since(10, 11, 0, &[]), MergeError::OtherCount; "with an attempt too many")]
fn an_answer_that_cannot_be_merged_is_followed_by_a_full_report(
    changes: &ReportChanges,
    error: MergeError,
) {
    let mut harness = running_cell();
    let session = next_session(&mut harness);
    assert_eq!(answer(&mut harness, &session, changes), Err(error));
    assert_eq!(harness.take(), []);
    let again = next_session(&mut harness);
    assert_eq!((session.known, again.known), (Some(mark(10)), None));
    let reported = all(13, &[running("spins", 0)]);
    assert_eq!(answer(&mut harness, &again, &reported), Ok(()));
    assert_eq!(harness.take(), []);
    assert_eq!(next_session(&mut harness).known, Some(mark(13)));
}

#[test]
fn an_answer_of_another_incarnation_cannot_be_merged() {
    let mut harness = running_cell();
    let session = next_session(&mut harness);
    let mut changes = since(10, 11, 1, &[]);
    changes.mark.incarnation = INCARNATION.next();
    let merged = answer(&mut harness, &session, &changes);
    assert_eq!(merged, Err(MergeError::OtherBase));
}

#[test]
fn an_unchanged_task_stays_assigned() {
    let mut harness = running_cell();
    let session = next_session(&mut harness);
    answer(&mut harness, &session, &since(10, 11, 1, &[])).unwrap();
    assert_eq!(harness.take(), []);
}

#[test]
fn a_task_reported_as_gone_waits_again() {
    let mut harness = running_cell();
    let session = next_session(&mut harness);
    let mut changes = since(10, 11, 0, &[]);
    changes.gone = vec![gone("spins")];
    answer(&mut harness, &session, &changes).unwrap();
    let returned = CellTransition::TaskReturned {
        task: task("spins", 0),
        attempt: AttemptNumber::new(1),
        checkpoint_ms: 0,
        failed: false,
    };
    assert_eq!(harness.take(), [returned]);
}

#[test]
fn a_task_whose_start_is_missing_from_later_changes_waits_again() {
    let mut harness = OwnerHarness::new();
    let session = next_session(&mut harness);
    answer(&mut harness, &session, &all(10, &[])).unwrap();
    harness.submit("spins", 1);
    harness.plan();
    harness.commit();
    harness.owner.start_answered("w1");
    let session = next_session(&mut harness);
    answer(&mut harness, &session, &since(10, 11, 0, &[])).unwrap();
    assert_eq!(harness.take().len(), 1);
}

#[test]
fn an_answer_to_a_lost_session_is_not_merged() {
    let mut harness = running_cell();
    let lost = next_session(&mut harness);
    harness.owner.session_lost("w1", lost.ordinal);
    let ended = attempt_report("spins", 1, ReportedPhase::Finished, 90_000);
    answer(&mut harness, &lost, &since(10, 11, 1, &[ended])).unwrap();
    assert_eq!(harness.take(), []);
    harness.wait(1_000);
    assert_eq!(next_session(&mut harness).known, Some(mark(10)));
}

#[test]
fn a_repeated_answer_is_merged_once() {
    let mut harness = running_cell();
    let session = next_session(&mut harness);
    let changes = since(10, 11, 1, &[running("spins", 60_000)]);
    answer(&mut harness, &session, &changes).unwrap();
    answer(&mut harness, &session, &changes).unwrap();
    assert_eq!(harness.take().len(), 1);
    assert_eq!(next_session(&mut harness).known, Some(mark(11)));
}
