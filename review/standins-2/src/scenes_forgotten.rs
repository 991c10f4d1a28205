//! A completed submission runs again: history is dropped while its rows are being removed.

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::caller::Step;

use crate::caller::body;

use crate::caller::submit;
use crate::daemons::Bounds;
use crate::scene::DESK;
use crate::scene::Scene;
use crate::scene::Size;
use crate::scene::Verdict;
use crate::worker::TaskPlan;

/// `status_s` of the deployment. The scene may last 120 s only, so this is shorter than that.
const REMEMBER_S: u64 = 60;
const SUBMISSIONS: u64 = 500;
/// Submissions a second.
const RATE: u64 = 25;
const RUN_MS: u64 = 300;
/// Least time between two losses of history. Each meets a removal in about one case of ten, and
/// the scene has little time.
const DROP_EVERY_MS: u64 = 430;
/// Losses come at all points of the owner's interval of 100 ms.
const DROP_SHIFT_MS: u64 = 37;
const DROP_SHIFT_MAX_MS: u64 = 100;

pub fn run(folder: &Path, has_trouble: bool) -> Verdict {
    let size = Size {
        daemons: 3,
        workers: 9,
        cpu: 16_000,
        mem: 62_500,
        bounds: Bounds {
            remember_s: REMEMBER_S,
            cpu_share: 0.25,
        },
        is_guarded: true,
    };
    let Some(scene) = Scene::start(folder, size) else {
        return Verdict::CannotRun;
    };
    sleep(Duration::from_secs(5));
    let fronts = scene.fronts();
    let began = Instant::now();
    let mut accepted = 0;
    for number in 0..SUBMISSIONS {
        let due = began + Duration::from_millis(number * 1_000 / RATE);
        sleep(due.saturating_duration_since(Instant::now()));
        let id = format!("{:016x}", 0x5c0e_7a21_0000_0000u64 + number);
        let plan = TaskPlan {
            cpu: 1_000,
            mem: 500,
            run_ms: Some(RUN_MS),
            ..TaskPlan::default()
        };
        scene.fleet.plan(&id, 0, plan);
        let path = format!("{}{id}", DESK.prefix);
        let text = body(&[Step::of(1, 1_000, 500)], Vec::new());
        let first = number as usize % fronts.len();
        let daemons = [&fronts[first..], &fronts[..first]].concat();
        accepted += u64::from(submit(&scene.record, &daemons, &path, &text));
    }
    scene
        .record
        .say(&format!("{accepted} of {SUBMISSIONS} submissions accepted"));
    // The first submissions are forgotten status_s after their end, the last so much later.
    let from = began + Duration::from_secs(REMEMBER_S) + Duration::from_millis(RUN_MS);
    let until = from + Duration::from_millis(SUBMISSIONS * 1_000 / RATE) + Duration::from_secs(2);
    sleep(from.saturating_duration_since(Instant::now()));
    let mut drops = 0u64;
    while Instant::now() < until {
        if has_trouble {
            scene.record.write("the store drops its history");
            scene.store.drop_history();
        }
        drops += 1;
        sleep(Duration::from_millis(
            DROP_EVERY_MS + drops * DROP_SHIFT_MS % DROP_SHIFT_MAX_MS,
        ));
    }
    sleep(Duration::from_secs(3));
    let left = scene.store.keys("sapphirestile/intake/").len();
    let again = scene.started_after_done();
    scene
        .record
        .say(&format!("{left} rows of submissions are left"));
    scene.record.say(&format!(
        "TWICE: {} starts after a done end that was taken note of",
        again.len()
    ));
    for line in again.iter().take(20) {
        scene.record.say(line);
    }
    if accepted < SUBMISSIONS {
        Verdict::CannotRun
    } else if again.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
