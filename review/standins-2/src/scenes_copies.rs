//! A worker that does not guard its capacity is brought over it: the next owner does not count
//! the first run of a task that has a copy.

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::caller::Step;

use crate::caller::body;

use crate::caller::submit;
use crate::daemons::Bounds;
use crate::json::Json;
use crate::scene::BATCH;
use crate::scene::DESK;
use crate::scene::Scene;
use crate::scene::Size;
use crate::scene::Verdict;
use crate::worker::TaskPlan;

const WORKERS: usize = 6;
const CAPACITY: u64 = 16_000;
const RUN_MS: u64 = 800;
/// `srv_slow` of the site file.
const SLOWNESS: f64 = 6.5;
/// Below `stop-timeout-ms`, which is 900.
const STOP: Duration = Duration::from_millis(700);
const LARGE_CPU: u64 = 14_000;

pub fn run(folder: &Path, has_trouble: bool) -> Verdict {
    let size = Size {
        daemons: 3,
        workers: WORKERS,
        cpu: CAPACITY,
        mem: 62_500,
        bounds: Bounds {
            remember_s: 120,
            cpu_share: 0.25,
        },
        is_guarded: false,
    };
    let Some(mut scene) = Scene::start(folder, size) else {
        return Verdict::CannotRun;
    };
    scene.fleet.lock().stop = STOP;
    sleep(Duration::from_secs(5));
    let (fronts, record) = (scene.fronts(), std::sync::Arc::clone(&scene.record));
    let mut next = 0u64;
    let mut submit_speculative = |scene: &Scene, count: u64| {
        next += 1;
        let id = format!("{:016x}", 0x59ec_0000_0000_0000u64 + next);
        scene.fleet.plan(
            &id,
            0,
            TaskPlan {
                cpu: 2_000,
                mem: 500,
                run_ms: Some(RUN_MS),
                ..TaskPlan::default()
            },
        );
        let step = Step::of(count, 2_000, 500).with("speculative", Json::Bool(true));
        submit(
            &record,
            &fronts,
            &format!("{}{id}", DESK.prefix),
            &body(&[step], Vec::new()),
        )
    };
    // The owner learns how long these tasks take.
    let mut accepted = true;
    for _ in 0..6 {
        accepted &= submit_speculative(&scene, 6);
        sleep(Duration::from_millis(500));
    }
    sleep(Duration::from_secs(2));
    let slow = {
        let mut state = scene.fleet.lock();
        state.workers[0].slowness = SLOWNESS;
        record.write(&format!(
            "{} turns {SLOWNESS} times slower",
            state.workers[0].id
        ));
        state.workers[0].id.clone()
    };
    for _ in 0..7 {
        accepted &= submit_speculative(&scene, 6);
    }
    // A copy of each slow run is started; right after that the owner is lost.
    let end = Instant::now() + Duration::from_secs(6);
    let copies = loop {
        let copies = scene
            .fleet
            .lock()
            .starts
            .iter()
            .filter(|start| start.run == 2)
            .count();
        if copies > 0 || Instant::now() > end {
            break copies;
        }
        sleep(Duration::from_millis(10));
    };
    sleep(Duration::from_millis(100));
    let Some(owner) = scene.owner() else {
        return Verdict::CannotRun;
    };
    if has_trouble {
        record.write(&format!(
            "{} is killed and starts again after a second",
            scene.daemons[owner].name
        ));
        scene.daemons[owner].kill();
    }
    let others: Vec<_> = fronts
        .iter()
        .enumerate()
        .filter(|(index, _)| *index != owner)
        .map(|(_, front)| *front)
        .collect();
    for number in 0..9u64 {
        let id = format!("{:016x}", 0x1a46_0000_0000_0000u64 + number);
        scene.fleet.plan(
            &id,
            0,
            TaskPlan {
                cpu: LARGE_CPU,
                mem: 500,
                run_ms: Some(1_500),
                ..TaskPlan::default()
            },
        );
        let text = body(&[Step::of(1, LARGE_CPU, 500)], Vec::new());
        accepted &= submit(&record, &others, &format!("{}{id}", BATCH.prefix), &text);
    }
    sleep(Duration::from_secs(1));
    if has_trouble {
        scene.daemons[owner].restart();
    }
    sleep(Duration::from_secs(12));
    let state = scene.fleet.lock();
    record.say(&format!(
        "{copies} or more copies of runs on {slow} were started before the owner was lost"
    ));
    record.say(&format!(
        "LIMIT: {} starts brought a worker over its capacity",
        state.over.len()
    ));
    for line in state.over.iter().take(10) {
        record.say(line);
    }
    if !accepted || copies == 0 {
        Verdict::CannotRun
    } else if state.over.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
