//! Tasks that are moved again and again because they slow runs beside them.

use sapphirestile_jobs::EndKind;
use sapphirestile_jobs::EndedRun;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobPlace;
use sapphirestile_jobs::JobProgress;
use sapphirestile_jobs::JobStanding;
use sapphirestile_jobs::LearntCoefficient;
use sapphirestile_jobs::LearntTables;
use sapphirestile_jobs::OccurrenceProgress;
use sapphirestile_jobs::RunningRun;
use sapphirestile_jobs::StartOutcome;
use sapphirestile_jobs::StepSpec;
use sapphirestile_jobs::StoredJob;
use test_case::test_case;

use crate::owner_fixture::OwnerFixture;
use crate::test_values::STOP_ACCEPTED;
use crate::test_values::ended;
use crate::test_values::fill_step;
use crate::test_values::job_spec;
use crate::test_values::running;
use crate::test_values::step;
use crate::test_values::worker;

const SERVING: &str = "aaaaaaaaaaaaaaaa";
const SERVING_TASK: &str = "aaaaaaaaaaaaaaaa.0.0.0";
const FILL: &str = "bbbbbbbbbbbbbbbb";
const FILL_TASK: &str = "bbbbbbbbbbbbbbbb.0.0.0";
/// Latencies for a target of 100 ms, in milliseconds.
const LOW_MS: u64 = 20;
const HIGH_MS: u64 = 90;
/// Time between two responses of the worker, in milliseconds.
const RESPONSE_MS: u64 = 250;
/// Runs that are moved as soon as they slow others.
const MOVED_RUNS: u32 = 3;

fn step_of(image: Option<&str>) -> StepSpec {
    StepSpec {
        image: image.map(Into::into),
        has_checkpoints: true,
        ..fill_step()
    }
}

/// A worker whose latency is high while a best-effort run works there at full pace.
struct Scene {
    fixture: OwnerFixture,
    /// Number and pace of the best-effort run; `None` while there is none.
    fill: Option<(u32, u32)>,
    ends: Vec<EndedRun>,
    /// Orders about the best-effort task, without its name.
    orders: Vec<String>,
}

impl Scene {
    fn new() -> Self {
        let mut fixture = OwnerFixture::with_workers(vec![worker("w-1", 10_000)]);
        fixture.owner.restore_learnt(&LearntTables {
            coefficients: vec![LearntCoefficient {
                best_effort: "resize".into(),
                serving: "desk".into(),
                load: 0.5,
                measurements: 100,
            }],
            lowest_ms: vec![("desk".into(), LOW_MS)],
            ..LearntTables::default()
        });
        let serving = StepSpec {
            is_long_running: true,
            latency_target_ms: Some(100),
            image: Some("desk".into()),
            ..step(1, 2_000)
        };
        fixture.accept(SERVING, job_spec(vec![serving]));
        assert_eq!(fixture.started_tasks().len(), 1);
        fixture.started("w-1", SERVING_TASK, 1, StartOutcome::Accepted);
        Self {
            fixture,
            fill: None,
            ends: Vec::new(),
            orders: Vec::new(),
        }
    }

    /// The same with a job that comes in.
    fn with_job() -> Self {
        let mut scene = Self::new();
        scene
            .fixture
            .accept(FILL, job_spec(vec![step_of(Some("resize"))]));
        scene
    }

    /// Plays for a while. `high_from` is the pace from which the latency is high.
    fn play(&mut self, milliseconds: u64, high_from: u32) {
        for _ in 0..milliseconds / RESPONSE_MS {
            let mut lines = self.fixture.wait(RESPONSE_MS);
            let is_high = self.fill.is_some_and(|(_, pace)| pace >= high_from);
            let mut shown = vec![RunningRun {
                measurement: if is_high { HIGH_MS } else { LOW_MS },
                ..running(SERVING_TASK, 1)
            }];
            shown.extend(self.fill.map(|(run, _)| RunningRun {
                measurement: 1_000,
                ..running(FILL_TASK, run)
            }));
            self.fixture.answer("w-1", &shown, &self.ends);
            lines.extend(self.fixture.step_and_store());
            while !lines.is_empty() {
                for line in std::mem::take(&mut lines) {
                    self.carry_out(&line);
                }
                lines.extend(self.fixture.step_and_store());
            }
        }
    }

    fn carry_out(&mut self, line: &str) {
        let order = line.replacen(&format!("{FILL_TASK}#"), "", 1);
        let words: Vec<&str> = order.split(' ').collect();
        let run: u32 = words[1].parse().unwrap();
        match words[0] {
            "start" => {
                self.fill = Some((run, 100));
                self.fixture
                    .started("w-1", FILL_TASK, run, StartOutcome::Accepted);
            }
            "stop" => {
                self.fill = None;
                let number = self.ends.len() as u64 + 1;
                self.ends
                    .push(ended(number, FILL_TASK, run, EndKind::Stopped));
                self.fixture.stopped("w-1", FILL_TASK, run, STOP_ACCEPTED);
            }
            _ => self.fill = Some((run, words[2].parse().unwrap())),
        }
        self.orders.push(order);
    }
}

/// A run without an image is never sped up again.
#[test_case(Some("resize"), &["start 4 at w-1", "pace 4 30"]; "with an image")]
#[test_case(None, &["start 4 at w-1"]; "without an image")]
fn task_that_had_three_runs_under_earlier_owners_starts_slowly(
    image: Option<&str>,
    expected: &[&str],
) {
    let mut scene = Scene::new();
    let spec = job_spec(vec![step_of(image)]);
    let mut occurrence = OccurrenceProgress::new(0, &spec);
    occurrence.steps[0].tasks[0].run = MOVED_RUNS;
    let stored = StoredJob {
        identity: JobIdentity::try_from(FILL).unwrap(),
        spec,
        progress: Some(JobProgress {
            standing: JobStanding::Running,
            begun: 1,
            occurrences: vec![occurrence],
        }),
        place: JobPlace::Home,
        is_cancelled: false,
    };
    let now = scene.fixture.time();
    scene
        .fixture
        .owner
        .restore_job(stored, now, scene.fixture.now);
    scene.play(2 * RESPONSE_MS, u32::MAX);
    assert_eq!(scene.orders, expected);
}

#[test]
fn task_that_was_moved_often_is_slowed_down_in_place_of_being_moved_without_end() {
    let mut scene = Scene::with_job();
    scene.play(30_000, 100);
    let stops = scene
        .orders
        .iter()
        .filter(|order| order.starts_with("stop "));
    assert_eq!(stops.count(), MOVED_RUNS as usize, "{:?}", scene.orders);
    let run = MOVED_RUNS + 1;
    let from = scene
        .orders
        .iter()
        .position(|order| *order == format!("start {run} at w-1"));
    assert_eq!(scene.orders[from.unwrap() + 1], format!("pace {run} 30"));
}

#[test]
fn task_that_was_moved_often_is_moved_again_if_it_slows_others_at_a_low_pace() {
    let mut scene = Scene::with_job();
    scene.play(30_000, 1);
    let run = MOVED_RUNS + 1;
    let stop = format!("stop {run} at w-1");
    assert!(scene.orders.contains(&stop), "{:?}", scene.orders);
}
