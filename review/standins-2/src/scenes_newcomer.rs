//! A task that lasts runs again too late: its worker is new to an owner that is not the first.

use std::path::Path;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::caller::Step;
use crate::caller::body;
use crate::caller::submit;
use crate::daemons::Bounds;
use crate::json::Json;
use crate::scene::DESK;
use crate::scene::Scene;
use crate::scene::Size;
use crate::scene::Verdict;
use crate::worker::TaskPlan;

const TASKS: u64 = 6;
/// Time from the loss until a task that lasts has to run: 6 s, and 3 s of calm.
const LATEST: Duration = Duration::from_secs(9);

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
    sleep(Duration::from_secs(6));
    let (fronts, record) = (scene.fronts(), Arc::clone(&scene.record));
    let id = "1a57000000000001";
    scene.fleet.plan(
        id,
        0,
        TaskPlan {
            cpu: 2_000,
            mem: 500,
            ..TaskPlan::default()
        },
    );
    let step = Step::of(TASKS, 2_000, 500)
        .with("long-running", Json::Bool(true))
        .with("required-label", Json::text("b"));
    let text = body(&[step], Vec::new());
    if !submit(&record, &fronts, &format!("{}{id}", DESK.prefix), &text) {
        return Verdict::CannotRun;
    }
    let Some(owner) = scene.owner() else {
        return Verdict::CannotRun;
    };
    if has_trouble {
        record.write(&format!(
            "{} is killed and starts again",
            scene.daemons[owner].name
        ));
        scene.daemons[owner].kill();
        sleep(Duration::from_secs(1));
        scene.daemons[owner].restart();
    }
    sleep(Duration::from_secs(10));
    scene.fleet.join_later();
    let end = Instant::now() + Duration::from_secs(10);
    let worker = loop {
        let starts = scene.fleet.lock().starts.clone();
        if starts.len() >= TASKS as usize {
            break starts[0].worker.clone();
        }
        if Instant::now() > end {
            return Verdict::CannotRun;
        }
        sleep(Duration::from_millis(5));
    };
    sleep(Duration::from_millis(300));
    let lost_at = scene.fleet.lose(&worker);
    sleep(Duration::from_secs(16));
    let fleet = scene.fleet.lock();
    let before = fleet
        .starts
        .iter()
        .filter(|start| start.worker == worker && start.at < lost_at);
    let mut late = 0;
    for start in before {
        let again = fleet
            .starts
            .iter()
            .find(|next| next.task == start.task && next.at > lost_at);
        let after = again.map(|next| next.at.duration_since(lost_at));
        record.say(&format!(
            "{} runs again {after:?} after its worker was lost",
            start.task
        ));
        late += u64::from(after.is_none_or(|after| after > LATEST));
    }
    record.say(&format!(
        "LOST: {late} of {TASKS} tasks that last ran again after more than {LATEST:?}"
    ));
    if late == 0 {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
