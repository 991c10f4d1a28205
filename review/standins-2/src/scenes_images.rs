//! Accepted submissions never run: what the owner learns of many images outgrows a value.

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

const WORKERS: usize = 4;
/// Images of tasks that last, and of tasks that fill.
const SERVING_IMAGES: u64 = 120;
const BATCH_IMAGES: u64 = 300;
/// Batch submissions a second.
const RATE: u64 = 12;
const BATCH_RUN_MS: u64 = 900;
/// Submissions that come afterwards.
const LATER: u64 = 12;
const LATER_RUN_MS: u64 = 500;
/// Time within which they could run many times over.
const LATER_WAIT: Duration = Duration::from_secs(25);

/// Name of an image, as a registry gives it.
fn image(kind: &str, number: u64, has_trouble: bool) -> String {
    let number = if has_trouble { number } else { number % 5 };
    format!(
        "registry.example/coat-sizing-platform/{kind}-charts:2026.12.06-{:012x}",
        number * 0x9e37_79b9 + 17
    )
}

pub fn run(folder: &Path, has_trouble: bool) -> Verdict {
    let size = Size {
        daemons: 3,
        workers: WORKERS,
        cpu: 64_000,
        mem: 256_000,
        bounds: Bounds {
            remember_s: 120,
            cpu_share: 0.25,
        },
        is_guarded: true,
    };
    let Some(scene) = Scene::start(folder, size) else {
        return Verdict::CannotRun;
    };
    sleep(Duration::from_secs(5));
    let (fronts, record) = (scene.fronts(), &scene.record);
    let mut accepted = true;
    for number in 0..SERVING_IMAGES {
        let id = format!("{:016x}", 0x1a57_0000_0000_0000u64 + number);
        scene.fleet.plan(
            &id,
            0,
            TaskPlan {
                cpu: 1_000,
                mem: 500,
                tail_ms: Some(25),
                ..TaskPlan::default()
            },
        );
        let step = Step::of(1, 1_000, 500)
            .with("long-running", Json::Bool(true))
            .with("image", Json::text(&image("desk", number, has_trouble)))
            .with("target-ms", Json::number(150));
        accepted &= submit(
            record,
            &fronts,
            &format!("{}{id}", DESK.prefix),
            &body(&[step], Vec::new()),
        );
    }
    sleep(Duration::from_secs(2));
    let began = Instant::now();
    for number in 0..BATCH_IMAGES {
        sleep(
            (began + Duration::from_millis(number * 1_000 / RATE))
                .saturating_duration_since(Instant::now()),
        );
        let id = format!("{:016x}", 0xba7c_0000_0000_0000u64 + number);
        let plan = TaskPlan {
            cpu: 1_000,
            mem: 500,
            run_ms: Some(BATCH_RUN_MS),
            fills: true,
            ..TaskPlan::default()
        };
        scene.fleet.plan(&id, 0, plan);
        let step = Step::of(4, 1_000, 500)
            .with("fills", Json::Bool(true))
            .with("image", Json::text(&image("batch", number, has_trouble)));
        accepted &= submit(
            record,
            &fronts,
            &format!("{}{id}", BATCH.prefix),
            &body(&[step], Vec::new()),
        );
    }
    sleep(Duration::from_secs(4));
    let (largest, refused) = scene.store.sizes();
    record.say(&format!("largest value that the store was offered: {largest} bytes; writes refused for their size: {refused}"));
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
            record,
            &fronts,
            &path,
            &body(&[Step::of(1, 1_000, 500)], Vec::new()),
        ) {
            later.push((id, path));
        }
    }
    sleep(LATER_WAIT);
    let started = |id: &str| {
        scene
            .fleet
            .lock()
            .starts
            .iter()
            .any(|start| start.task.starts_with(id))
    };
    let not_started = later.iter().filter(|(id, _)| !started(id)).count();
    let running: usize = scene
        .fleet
        .lock()
        .workers
        .iter()
        .map(|worker| worker.runs())
        .sum();
    for (_, path) in &later {
        state(record, fronts[0], path);
    }
    let (largest, refused) = scene.store.sizes();
    record.say(&format!("largest value that the store was offered: {largest} bytes; writes refused for their size: {refused}"));
    record.say(&format!(
        "LOST: {not_started} of {} accepted submissions have not begun after {} s; {running} tasks run on {WORKERS} workers",
        later.len(),
        LATER_WAIT.as_secs(),
    ));
    if !accepted || later.len() < LATER as usize {
        Verdict::CannotRun
    } else if not_started == 0 {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
