//! Reports that say why a job waits and why a run was stopped.

use sapphirestile_jobs::DecisionEvent;
use sapphirestile_jobs::PlacementCensus;
use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::StepSpec;
use sapphirestile_jobs::StopCause;

use crate::owner_fixture::OwnerFixture;
use crate::test_values::job_spec;
use crate::test_values::step;
use crate::test_values::task_identity;
use crate::test_values::worker;

const FIRST: &str = "aaaaaaaaaaaaaaaa";
const SECOND: &str = "bbbbbbbbbbbbbbbb";
const THIRD: &str = "cccccccccccccccc";
/// Time after which a job with nothing running is reported, in milliseconds.
const REPORTED_AFTER_MS: u64 = 2_000;

fn best_effort() -> StepSpec {
    StepSpec {
        is_best_effort: true,
        ..step(1, 1_000)
    }
}

/// A worker that the first job fills, and two jobs that wait for it.
fn full_fixture() -> OwnerFixture {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 1_000)]);
    for job in [FIRST, SECOND, THIRD] {
        fixture.accept(job, job_spec(vec![best_effort()]));
        fixture.step();
        fixture.now += 1;
    }
    fixture.store();
    fixture.started("w-1", &format!("{FIRST}.0.0.0"), 1, StartOutcome::Accepted);
    fixture
}

/// Tasks that the owner reports as waiting, with the reasons.
fn waits(fixture: &mut OwnerFixture) -> Vec<(String, PlacementCensus)> {
    let decisions = fixture.owner.take_decisions();
    let waits = decisions.into_iter().filter_map(|decision| match decision {
        DecisionEvent::JobWaits { task, census, .. } => Some((task.to_string(), census)),
        _ => None,
    });
    waits.collect()
}

#[test]
fn longest_wait_is_reported_with_its_reasons_and_once_in_an_interval() {
    let mut fixture = full_fixture();
    fixture.step();
    assert!(waits(&mut fixture).is_empty());
    fixture.now += REPORTED_AFTER_MS;
    fixture.step();
    fixture.step();
    let reports = waits(&mut fixture);
    assert_eq!(reports.len(), 1, "{reports:?}");
    let (task, census) = &reports[0];
    assert_eq!(*task, format!("{SECOND}.0.0.0"));
    let expected = PlacementCensus {
        little_idle_cpu: 1,
        largest_free_cpu_milli: 1_000,
        ..PlacementCensus::default()
    };
    assert_eq!(*census, expected);
}

#[test]
fn stop_is_reported_with_its_cause() {
    let mut fixture = full_fixture();
    fixture.cancel(FIRST);
    let causes: Vec<_> = fixture
        .owner
        .take_decisions()
        .into_iter()
        .filter_map(|decision| match decision {
            DecisionEvent::StopRequested { task, cause, .. } => Some((task, cause)),
            _ => None,
        })
        .collect();
    let task = task_identity(&format!("{FIRST}.0.0.0"));
    assert_eq!(causes, [(task, StopCause::JobEnded)]);
}
