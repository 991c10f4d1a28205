//! Best-effort runs beside a latency-sensitive one.

use sapphirestile_jobs::EndKind;
use sapphirestile_jobs::LearntCoefficient;
use sapphirestile_jobs::LearntTables;
use sapphirestile_jobs::RunningRun;
use sapphirestile_jobs::StartOutcome;

use crate::owner_fixture::OwnerFixture;
use crate::test_values::STOP_ACCEPTED;
use crate::test_values::ended;
use crate::test_values::job_spec;
use crate::test_values::running;
use crate::test_values::step;
use crate::test_values::worker;

const DESK: &str = "aaaaaaaaaaaaaaaa";
const FILL: &str = "bbbbbbbbbbbbbbbb";
const TARGET_MS: u64 = 100;
/// A latency above the share of the target at which runs are moved.
const HIGH_MS: u64 = 90;

/// A worker with a run that serves callers and four best-effort runs of an image that is
/// known to disturb it.
fn disturbed_fixture() -> OwnerFixture {
    fixture_with_fills(true)
}

fn fixture_with_fills(have_checkpoints: bool) -> OwnerFixture {
    let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 10_000)]);
    fixture.owner.restore_learnt(&LearntTables {
        coefficients: vec![LearntCoefficient {
            best_effort: "resize".into(),
            serving: "desk".into(),
            load: 0.04,
            measurements: 10,
        }],
        lowest_ms: vec![("desk".into(), 20)],
        ..LearntTables::default()
    });
    let mut desk = step(1, 2_000);
    desk.is_long_running = true;
    desk.latency_target_ms = Some(TARGET_MS);
    desk.image = Some("desk".into());
    let mut fill = step(4, 1_000);
    fill.is_best_effort = true;
    fill.has_checkpoints = have_checkpoints;
    fill.image = Some("resize".into());
    for (job, step) in [(DESK, desk), (FILL, fill)] {
        let tasks = step.tasks;
        fixture.accept(job, job_spec(vec![step]));
        fixture.step();
        assert_eq!(fixture.store().len(), tasks as usize);
        for index in 0..tasks {
            let task = format!("{job}.0.0.{index}");
            fixture.started("w-1", &task, 1, StartOutcome::Accepted);
        }
    }
    fixture
}

fn runs(latency_ms: u64, fills: &[u32]) -> Vec<RunningRun> {
    let desk = RunningRun {
        measurement: latency_ms,
        ..running(&format!("{DESK}.0.0.0"), 1)
    };
    let fills = fills.iter().map(|index| RunningRun {
        measurement: 1_000,
        ..running(&format!("{FILL}.0.0.{index}"), 1)
    });
    std::iter::once(desk).chain(fills).collect()
}

/// A latency covers the last half second. Right after a run was stopped for it, it says
/// nothing about the runs that are left, and they would all be stopped one after the other.
#[test]
fn no_further_run_is_moved_before_the_latency_can_show_the_first_move() {
    let mut fixture = disturbed_fixture();
    fixture.now += 700;
    fixture.answer("w-1", &runs(HIGH_MS, &[0, 1, 2, 3]), &[]);
    let stops = fixture.step();
    assert!(!stops.is_empty() && stops.len() < 4, "{stops:?}");
    assert!(
        stops.iter().all(|line| line.starts_with("stop ")),
        "{stops:?}"
    );
    let is_stopped = |index: &u32| {
        let task = format!("{FILL}.0.0.{index}#");
        stops.iter().any(|line| line.contains(&task))
    };
    let (stopped, left): (Vec<u32>, Vec<u32>) = (0..4).partition(is_stopped);
    let mut ends = Vec::new();
    for (number, index) in (1..).zip(&stopped) {
        let task = format!("{FILL}.0.0.{index}");
        fixture.stopped("w-1", &task, 1, STOP_ACCEPTED);
        ends.push(ended(number, &task, 1, EndKind::Stopped));
    }
    fixture.now += 50;
    fixture.answer("w-1", &runs(HIGH_MS, &left), &ends);
    let later = fixture.step();
    assert!(
        later.iter().all(|line| !line.starts_with("stop ")),
        "{later:?}"
    );
    fixture.now += 700;
    fixture.store();
    fixture.answer("w-1", &runs(HIGH_MS, &left), &[]);
    let last = fixture.step();
    assert!(
        last.iter().any(|line| line.starts_with("stop ")),
        "{last:?}"
    );
}

/// Guards against a run that slows its neighbour for ever: the order to slow it down was lost on
/// a connection that had failed, and the owner took it for slowed down.
#[test]
fn pace_whose_order_was_lost_is_ordered_again() {
    let mut fixture = fixture_with_fills(false);
    // Runs without checkpoints that have worked for some time are not moved.
    for _ in 0..10 {
        fixture.now += 1_000;
        fixture.answer("w-1", &runs(20, &[0, 1, 2, 3]), &[]);
        fixture.step();
    }
    fixture.answer("w-1", &runs(HIGH_MS, &[0, 1, 2, 3]), &[]);
    let paces = fixture.step();
    let first = paces.first().expect("a run is slowed down").clone();
    let (task, percent) = pace_of(&first);
    fixture.now += 300;
    fixture.answer("w-1", &runs(HIGH_MS, &[0, 1, 2, 3]), &[]);
    assert!(
        !fixture.step().contains(&first),
        "the order may be on its way"
    );
    fixture.pace_failed("w-1", &task, 1, percent);
    fixture.answer("w-1", &runs(HIGH_MS, &[0, 1, 2, 3]), &[]);
    assert_eq!(fixture.step(), [first]);
    // What fails after a later change says nothing about that one.
    fixture.pace_failed("w-1", &task, 1, percent + 1);
    fixture.answer("w-1", &runs(HIGH_MS, &[0, 1, 2, 3]), &[]);
    assert!(fixture.step().is_empty());
}

/// The task and the percentage of a line of a change of pace.
fn pace_of(line: &str) -> (String, u32) {
    let rest = line.strip_prefix("pace ").expect("a pace");
    let (task, rest) = rest.split_once('#').expect("a run");
    let (_, percent) = rest.split_once(' ').expect("a percentage");
    (task.to_owned(), percent.parse().expect("a number"))
}
