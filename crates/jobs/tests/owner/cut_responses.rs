//! Responses that are cut at the limit of an answer: what they leave out is not known.

use sapphirestile_jobs::EndKind;
use sapphirestile_jobs::StartOutcome;

use crate::owner_fixture::OwnerFixture;
use crate::test_values::ended;
use crate::test_values::job_spec;
use crate::test_values::running;
use crate::test_values::step;
use crate::test_values::worker;

const JOB: &str = "aaaaaaaaaaaaaaaa";

fn task(index: u32) -> String {
    format!("{JOB}.0.0.{index}")
}

/// A worker with one task that runs and two that have ended.
fn fixture_with_runs() -> OwnerFixture {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 3_000)]);
    fixture.accept(JOB, job_spec(vec![step(3, 1_000)]));
    fixture.step();
    assert_eq!(fixture.store().len(), 3);
    for index in 0..3 {
        fixture.started("w-1", &task(index), 1, StartOutcome::Accepted);
    }
    fixture.answer("w-1", &[0, 1, 2].map(|index| running(&task(index), 1)), &[]);
    fixture.step();
    fixture
}

/// More runs have ended than fit into an answer. One that is neither running nor among the
/// first ends may have completed, so it must not run again before the other ends are read.
#[test]
fn run_that_a_cut_response_leaves_out_is_not_taken_for_lost() {
    let mut fixture = fixture_with_runs();
    let first = ended(1, &task(0), 1, EndKind::Done);
    fixture.answer_in_part("w-1", &[running(&task(2), 1)], &[first]);
    assert!(fixture.step().is_empty());
    assert!(fixture.store().is_empty(), "the run was started again");
    assert_eq!(fixture.acknowledged("w-1").unwrap().number, 1);
    let second = ended(2, &task(1), 1, EndKind::Done);
    let third = ended(3, &task(2), 1, EndKind::Done);
    fixture.answer("w-1", &[], &[second, third]);
    fixture.assert_completed();
}

/// The rest of the ends does not have the run either, so it is lost and starts again.
#[test]
fn run_that_the_whole_list_of_ends_leaves_out_starts_again() {
    let mut fixture = fixture_with_runs();
    let first = ended(1, &task(0), 1, EndKind::Done);
    fixture.answer_in_part("w-1", &[running(&task(2), 1)], &[first]);
    fixture.step();
    fixture.store();
    fixture.answer("w-1", &[running(&task(2), 1)], &[]);
    fixture.step();
    assert_eq!(fixture.store(), [format!("start {}#2 at w-1", task(1))]);
}
