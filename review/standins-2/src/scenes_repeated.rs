//! Accepted submissions of other callers never run: the record of one repeated submission
//! outgrows a value of the store.

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::caller::Step;

use crate::caller::body;

use crate::caller::state;

use crate::caller::submit;
use crate::daemons::Bounds;
use crate::json::Json;
use crate::scene::BATCH;
use crate::scene::DESK;
use crate::scene::Scene;
use crate::scene::Size;
use crate::scene::Verdict;
use crate::worker::TaskPlan;
use crate::worker::unix_ms;

/// Size of the repeated submission, and of the one in its place without the disruption.
const LARGE: (u64, u64) = (5_000, 120);
const USUAL: (u64, u64) = (36, 8);
const INTERVAL_MS: u64 = 100;
const REPEATED_RUN_MS: u64 = 1_000;
const LATER: u64 = 12;
const LATER_RUN_MS: u64 = 500;
/// Time from the last request to the judgement: `finish_s`, and ten seconds more.
const LATER_WAIT: Duration = Duration::from_secs(24);
/// Time over which it is looked whether nothing of them runs; the rule says three seconds.
const LOOKED: Duration = Duration::from_secs(4);

pub fn run(folder: &Path, has_trouble: bool) -> Verdict {
    let size = Size {
        daemons: 3,
        workers: 9,
        cpu: 16_000,
        mem: 62_500,
        bounds: Bounds {
            remember_s: 120,
            cpu_share: 0.25,
        },
        is_guarded: true,
    };
    let Some(mut scene) = Scene::start(folder, size) else {
        return Verdict::CannotRun;
    };
    sleep(Duration::from_secs(5));
    let fronts = scene.fronts();
    let record = std::sync::Arc::clone(&scene.record);
    let (count, times) = if has_trouble { LARGE } else { USUAL };
    let repeated = "5e71a1f000000001";
    let plan = TaskPlan {
        cpu: 1_000,
        mem: 500,
        run_ms: Some(REPEATED_RUN_MS),
        ..TaskPlan::default()
    };
    scene.fleet.plan(repeated, 0, plan);
    let repeated_path = format!("{}{repeated}", BATCH.prefix);
    let repeats = vec![
        ("repeat-count", Json::number(times)),
        ("start-time-ms", Json::number(unix_ms())),
        ("interval-ms", Json::number(INTERVAL_MS)),
    ];
    let text = body(&[Step::of(count, 1_000, 500)], repeats);
    record.write(&format!("POST {repeated_path} {text}"));
    let is_taken = submit(&record, &fronts, &repeated_path, &text);
    record.say(&format!(
        "repeated submission of {times} times {count} tasks: accepted {is_taken}"
    ));
    sleep(Duration::from_secs(15));
    let mut later = Vec::new();
    for number in 0..LATER {
        let id = format!("{:016x}", 0x1a7e_0000_0000_0000u64 + number);
        let plan = TaskPlan {
            cpu: 1_000,
            mem: 500,
            run_ms: Some(LATER_RUN_MS),
            ..TaskPlan::default()
        };
        scene.fleet.plan(&id, 0, plan);
        let path = format!("{}{id}", DESK.prefix);
        if submit(
            &record,
            &fronts,
            &path,
            &body(&[Step::of(1, 1_000, 500)], Vec::new()),
        ) {
            later.push((id, path));
        }
    }
    sleep(LATER_WAIT);
    let begun = |scene: &Scene, id: &str| {
        scene
            .fleet
            .lock()
            .starts
            .iter()
            .any(|start| start.task.starts_with(id))
    };
    let looked_from = Instant::now();
    let mut busiest = 0;
    while looked_from.elapsed() < LOOKED {
        let running: usize = scene
            .fleet
            .lock()
            .workers
            .iter()
            .map(|worker| worker.runs())
            .sum();
        busiest = busiest.max(running);
        sleep(Duration::from_millis(20));
    }
    let not_begun = later.iter().filter(|(id, _)| !begun(&scene, id)).count();
    for (_, path) in &later {
        state(&record, fronts[0], path);
    }
    state(&record, fronts[0], &repeated_path);
    let (largest, refused) = scene.store.sizes();
    record.say(&format!("largest value that the store was offered: {largest} bytes; writes refused for their size: {refused}"));
    record.say(&format!(
        "daemons that became owner: {}",
        scene.logged("loaded the cell and owns it").len()
    ));
    record.say(&format!("all daemons still run: {}", scene.all_up()));
    record.say(&format!(
        "LOST: {not_begun} of {} accepted submissions of others have not begun; for {} s at most {busiest} tasks ran, with room for 144",
        later.len(),
        LOOKED.as_secs(),
    ));
    let not_started = if busiest < 72 { not_begun } else { 0 };
    if !is_taken || later.len() < LATER as usize {
        Verdict::CannotRun
    } else if not_started == 0 {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
