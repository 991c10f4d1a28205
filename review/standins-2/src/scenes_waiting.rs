//! The number of waiting submissions is told wrongly: an unhealthy worker refuses their starts.

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::caller::Step;

use crate::caller::body;

use crate::caller::send;

use crate::caller::submit;
use crate::daemons::Bounds;
use crate::json::Json;
use crate::scene::BATCH;
use crate::scene::DESK;
use crate::scene::Scene;
use crate::scene::Size;
use crate::scene::Verdict;
use crate::worker::Health;
use crate::worker::TaskPlan;

/// One of these is 0.083 of them; `srv_grey` has a share of up to 0.1 on the site.
const WORKERS: usize = 12;
const WAITING: u64 = 16;
/// How long the worker is unhealthy: `srv_grey` of the site file.
const GREY: Duration = Duration::from_millis(6_500);
/// `visible_ms` and two seconds: from then on the count is judged.
const JUDGED_AFTER: Duration = Duration::from_millis(5_000);

pub fn run(folder: &Path, has_trouble: bool) -> Verdict {
    let size = Size {
        daemons: 3,
        workers: WORKERS,
        cpu: 16_000,
        mem: 62_500,
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
    // All workers but the one that will be unhealthy are full for a while.
    let mut accepted = true;
    for number in 0..WORKERS as u64 - u64::from(has_trouble) {
        let id = format!("{:016x}", 0xf011_0000_0000_0000u64 + number);
        scene.fleet.plan(
            &id,
            0,
            TaskPlan {
                cpu: 16_000,
                mem: 500,
                run_ms: Some(40_000),
                ..TaskPlan::default()
            },
        );
        let text = body(&[Step::of(1, 16_000, 500)], Vec::new());
        accepted &= submit(record, &fronts, &format!("{}{id}", DESK.prefix), &text);
    }
    sleep(Duration::from_secs(2));
    if has_trouble {
        let mut state = scene.fleet.lock();
        let idle = state.workers.iter_mut().find(|worker| worker.runs() == 0);
        let Some(idle) = idle else {
            return Verdict::CannotRun;
        };
        idle.health = Health::Busy;
        record.write(&format!(
            "{} turns unhealthy: it answers starts with 503 and does nothing",
            idle.id
        ));
    }
    let grey_from = Instant::now();
    let mut ids = Vec::new();
    for number in 0..WAITING {
        let id = format!("{:016x}", 0x3a17_0000_0000_0000u64 + number);
        scene.fleet.plan(
            &id,
            0,
            TaskPlan {
                cpu: 1_000,
                mem: 500,
                run_ms: Some(1_000),
                ..TaskPlan::default()
            },
        );
        let text = body(&[Step::of(1, 1_000, 500)], Vec::new());
        accepted &= submit(record, &fronts, &format!("{}{id}", BATCH.prefix), &text);
        ids.push(id);
    }
    let all_accepted = Instant::now();
    let mut worst: Option<(u64, u64)> = None;
    sleep(JUDGED_AFTER.saturating_sub(all_accepted.elapsed()));
    while grey_from.elapsed() < GREY {
        let is_begun = |id: &String| {
            scene
                .fleet
                .lock()
                .starts
                .iter()
                .any(|start| start.task.starts_with(id.as_str()))
        };
        let answer = send(
            record,
            fronts[1],
            "GET",
            BATCH.prefix,
            "",
            Duration::from_secs(3),
        );
        let not_begun = ids.iter().filter(|id| !is_begun(id)).count() as u64;
        let told = answer.and_then(|(_, text)| Json::read(&text)?.get("waiting").as_u64());
        if let Some(told) = told {
            record.say(&format!(
                "{not_begun} submissions have not begun, waiting is given as {told}"
            ));
            if worst.is_none_or(|(_, before)| told < before) {
                worst = Some((not_begun, told));
            }
        }
        sleep(Duration::from_millis(200));
    }
    for worker in &mut scene.fleet.lock().workers {
        worker.health = Health::Sound;
    }
    let Some((not_begun, told)) = worst.filter(|_| accepted) else {
        return Verdict::CannotRun;
    };
    record.say(&format!(
        "MIXED: at the worst {told} of {not_begun} were given as waiting"
    ));
    if told * 2 < not_begun {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
