//! A gang is shown as failed after it has failed once: each member's end counts as an attempt.

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
use crate::scene::DESK;
use crate::scene::Scene;
use crate::scene::Size;
use crate::scene::Verdict;
use crate::worker::Health;
use crate::worker::TaskPlan;

const WORKERS: usize = 9;
const MEMBERS: u64 = 4;
const GANGS: u64 = 12;
const RUN_MS: u64 = 1_500;
/// How long a worker is grey: `srv_grey` of the site file.
const GREY: Duration = Duration::from_millis(6_500);

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
    if has_trouble {
        let mut state = scene.fleet.lock();
        state.workers[0].health = Health::Failing;
        record.write(&format!("{} fails all that it starts", state.workers[0].id));
    }
    let grey_from = Instant::now();
    let mut gangs = Vec::new();
    for number in 0..GANGS {
        let id = format!("{:016x}", 0x6a46_0000_0000_0000u64 + number);
        let plan = TaskPlan {
            cpu: 4_000,
            mem: 500,
            run_ms: Some(RUN_MS),
            gang: Some(MEMBERS),
            ..TaskPlan::default()
        };
        scene.fleet.plan(&id, 0, plan);
        let step = Step::of(MEMBERS, 4_000, 500).with("gang", Json::Bool(true));
        let path = format!("{}{id}", DESK.prefix);
        if submit(record, &fronts, &path, &body(&[step], Vec::new())) {
            gangs.push((id, path));
        }
    }
    sleep(GREY.saturating_sub(grey_from.elapsed()));
    scene.fleet.lock().workers[0].health = Health::Sound;
    sleep(Duration::from_secs(10));
    let mut broken = 0;
    for (id, path) in &gangs {
        let shown = state(record, fronts[1], path)
            .map(|(_, state)| state)
            .unwrap_or_default();
        let fleet = scene.fleet.lock();
        let mut failed: Vec<u64> = fleet
            .ends
            .iter()
            .filter(|end| end.task.starts_with(id.as_str()) && end.how == "failed")
            .map(|end| end.run)
            .collect();
        let ends = failed.len();
        failed.sort_unstable();
        failed.dedup();
        let runs = failed.len() as u64;
        if shown == "failed" && runs < DESK.attempts {
            broken += 1;
            record.say(&format!(
                "{id} is shown as failed; the gang has failed {runs} times ({ends} ends of members) of {} attempts",
                DESK.attempts
            ));
        }
    }
    record.say(&format!(
        "LOST: {broken} of {} gangs are shown as failed without cause",
        gangs.len()
    ));
    if gangs.len() < GANGS as usize {
        Verdict::CannotRun
    } else if broken == 0 {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
