//! Answers that say what has changed.

use test_case::test_case;

use crate::owner_bench::OwnerBench;
use crate::owner_bench::sighting;
use crate::owner_bench::task;
use sapphirestile_cells::AnswerView;
use sapphirestile_cells::CellTransition;
use sapphirestile_cells::GoneAttempt;
use sapphirestile_cells::MergeFault;
use sapphirestile_cells::ReportChanges;
use sapphirestile_cells::ReportMark;
use sapphirestile_cells::SessionOrder;
use sapphirestile_cells::SightedPhase;
use sapphirestile_cells::TaskSighting;
use sapphirestile_cells::WholeReport;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::IncarnationNumber;

const LIFE: IncarnationNumber = IncarnationNumber::new(7);

const fn mark(permit: u64) -> ReportMark {
    ReportMark {
        incarnation: LIFE,
        permit,
    }
}

fn all(permit: u64, tasks: &[TaskSighting]) -> ReportChanges {
    ReportChanges {
        mark: mark(permit),
        base: None,
        count: u32::try_from(tasks.len()).unwrap(),
        changed: tasks.to_vec(),
        gone: Vec::new(),
    }
}

fn since(base: u64, permit: u64, count: u32, changed: &[TaskSighting]) -> ReportChanges {
    ReportChanges {
        base: Some(base),
        count,
        ..all(permit, changed)
    }
}

fn running(job: &str, checkpoint_ms: u64) -> TaskSighting {
    sighting(job, 1, SightedPhase::Running, checkpoint_ms)
}

fn gone(job: &str) -> GoneAttempt {
    GoneAttempt {
        task: task(job, 0),
        attempt: AttemptNumber::new(1),
    }
}

/// The session with `w1` that is due a second later.
fn next_session(bench: &mut OwnerBench) -> SessionOrder {
    bench.wait(1_000);
    let mut sessions = bench.sessions().into_iter();
    sessions
        .find(|session| session.worker.as_str() == "w1")
        .unwrap()
}

fn answer(
    bench: &mut OwnerBench,
    session: &SessionOrder,
    changes: &ReportChanges,
) -> Result<(), MergeFault> {
    let asked = bench.now;
    bench.owner.observe_answer(&AnswerView {
        worker: "w1",
        ordinal: session.ordinal,
        asked,
        changes,
    })
}

/// A cell whose task runs on `w1` and was in its report with permit 10.
fn running_cell() -> OwnerBench {
    let mut bench = OwnerBench::new();
    bench.run("spins", 1);
    bench.owner.start_answered("w1");
    let session = next_session(&mut bench);
    let shown = all(10, &[running("spins", 0)]);
    assert_eq!(answer(&mut bench, &session, &shown), Ok(()));
    bench
}

#[test]
fn changes_lead_to_what_a_whole_report_would_show() {
    let mut whole = WholeReport::default();
    whole
        .merge(&all(1, &[running("b", 0), running("a", 0)]))
        .unwrap();
    let mut changes = since(1, 4, 2, &[running("c", 5), running("b", 60_000)]);
    changes.gone = vec![gone("a"), gone("never-shown")];
    whole.merge(&changes).unwrap();
    assert_eq!(whole.tasks(), [running("b", 60_000), running("c", 5)]);
    assert_eq!(whole.mark(), Some(mark(4)));
}

#[test]
fn an_attempt_that_came_again_after_it_was_gone_is_there() {
    let mut whole = WholeReport::default();
    whole.merge(&all(1, &[running("a", 0)])).unwrap();
    let mut changes = since(1, 4, 1, &[running("a", 9)]);
    changes.gone = vec![gone("a")];
    whole.merge(&changes).unwrap();
    assert_eq!(whole.tasks(), [running("a", 9)]);
}

#[test_case(&since(9, 11, 1, &[]), MergeFault::OtherBase; "of an earlier report")]
#[test_case(&since(11, 12, 1, &[]), MergeFault::OtherBase; "of a report that was lost")]
#[test_case(&since(10, 11, 2, &[]), MergeFault::OtherCount; "with a row missing")]
#[test_case(&since(10, 11, 0, &[]), MergeFault::OtherCount; "with a row too many")]
fn an_answer_that_does_not_fit_is_asked_for_again(changes: &ReportChanges, fault: MergeFault) {
    let mut bench = running_cell();
    let session = next_session(&mut bench);
    assert_eq!(answer(&mut bench, &session, changes), Err(fault));
    assert_eq!(bench.take(), []);
    let again = next_session(&mut bench);
    assert_eq!((session.known, again.known), (Some(mark(10)), None));
    let shown = all(13, &[running("spins", 0)]);
    assert_eq!(answer(&mut bench, &again, &shown), Ok(()));
    assert_eq!(bench.take(), []);
    assert_eq!(next_session(&mut bench).known, Some(mark(13)));
}

#[test]
fn an_answer_of_another_life_does_not_fit() {
    let mut bench = running_cell();
    let session = next_session(&mut bench);
    let mut changes = since(10, 11, 1, &[]);
    changes.mark.incarnation = LIFE.next();
    let merged = answer(&mut bench, &session, &changes);
    assert_eq!(merged, Err(MergeFault::OtherBase));
}

#[test]
fn a_task_that_did_not_change_is_still_there() {
    let mut bench = running_cell();
    let session = next_session(&mut bench);
    answer(&mut bench, &session, &since(10, 11, 1, &[])).unwrap();
    assert_eq!(bench.take(), []);
}

#[test]
fn a_task_that_is_gone_waits_again() {
    let mut bench = running_cell();
    let session = next_session(&mut bench);
    let mut changes = since(10, 11, 0, &[]);
    changes.gone = vec![gone("spins")];
    answer(&mut bench, &session, &changes).unwrap();
    let returned = CellTransition::TaskReturned {
        task: task("spins", 0),
        attempt: AttemptNumber::new(1),
        checkpoint_ms: 0,
        failed: false,
    };
    assert_eq!(bench.take(), [returned]);
}

#[test]
fn a_start_that_later_changes_do_not_show_never_takes_effect() {
    let mut bench = OwnerBench::new();
    let session = next_session(&mut bench);
    answer(&mut bench, &session, &all(10, &[])).unwrap();
    bench.submit("spins", 1);
    bench.plan();
    bench.commit();
    bench.owner.start_answered("w1");
    let session = next_session(&mut bench);
    answer(&mut bench, &session, &since(10, 11, 0, &[])).unwrap();
    assert_eq!(bench.take().len(), 1);
}

#[test]
fn a_late_answer_is_not_merged() {
    let mut bench = running_cell();
    let lost = next_session(&mut bench);
    bench.owner.session_lost("w1", lost.ordinal);
    let ended = sighting("spins", 1, SightedPhase::Finished, 90_000);
    answer(&mut bench, &lost, &since(10, 11, 1, &[ended])).unwrap();
    assert_eq!(bench.take(), []);
    bench.wait(1_000);
    assert_eq!(next_session(&mut bench).known, Some(mark(10)));
}

#[test]
fn an_answer_that_comes_twice_is_merged_once() {
    let mut bench = running_cell();
    let session = next_session(&mut bench);
    let changes = since(10, 11, 1, &[running("spins", 60_000)]);
    answer(&mut bench, &session, &changes).unwrap();
    answer(&mut bench, &session, &changes).unwrap();
    assert_eq!(bench.take().len(), 1);
    assert_eq!(next_session(&mut bench).known, Some(mark(11)));
}
