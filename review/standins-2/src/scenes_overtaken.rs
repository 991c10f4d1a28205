//! A submission runs after its cancelling was acknowledged: a frozen daemon wakes with it.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::caller::DEADLINE_MS;

use crate::caller::Step;

use crate::caller::body;

use crate::caller::send;

use crate::caller::state;
use crate::daemons::Bounds;
use crate::json::Json;
use crate::scene::DESK;
use crate::scene::Scene;
use crate::scene::Size;
use crate::scene::Verdict;
use crate::worker::TaskPlan;

const SUBMISSIONS: u64 = 10;
/// `node_freeze` of the site file.
const FROZEN: Duration = Duration::from_millis(4_000);
/// `cancel_ms` of the settings.
const CANCEL: Duration = Duration::from_millis(3_000);
const FIRST_STEP_MS: u64 = 3_500;
const SECOND_STEP_MS: u64 = 1_000;

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
    let Some(scene) = Scene::start(folder, size) else {
        return Verdict::CannotRun;
    };
    sleep(Duration::from_secs(6));
    let (fronts, record) = (scene.fronts(), Arc::clone(&scene.record));
    let Some(owner) = scene.owner() else {
        return Verdict::CannotRun;
    };
    let frozen = (owner + 1) % fronts.len();
    let other = fronts[(owner + 2) % fronts.len()];
    let (name, stopped_at) = (&scene.daemons[frozen].name, Instant::now());
    if has_trouble {
        record.write(&format!("{name}, which owns nothing, freezes"));
        scene.daemons[frozen].signal("STOP");
    }
    let front = fronts[frozen];
    let mut clients = Vec::new();
    for number in 0..SUBMISSIONS {
        let id = format!("{:016x}", 0xde1e_0000_0000_0000u64 + number);
        let plan = |run_ms| TaskPlan {
            cpu: 1_000,
            mem: 500,
            run_ms: Some(run_ms),
            ..TaskPlan::default()
        };
        scene.fleet.plan(&id, 0, plan(FIRST_STEP_MS));
        scene.fleet.plan(&id, 1, plan(SECOND_STEP_MS));
        let record = Arc::clone(&record);
        clients.push(thread::spawn(move || {
            let path = format!("{}{id}", DESK.prefix);
            let after = Json::List(vec![Json::number(0)]);
            let steps = [
                Step::of(1, 1_000, 500),
                Step::of(1, 1_000, 500).with("after", after),
            ];
            let limit = Duration::from_millis(DEADLINE_MS);
            let sent = Instant::now();
            let posted = send(
                &record,
                front,
                "POST",
                &path,
                &body(&steps, Vec::new()),
                limit,
            );
            sleep(limit.saturating_sub(sent.elapsed()));
            let deleted = send(&record, other, "DELETE", &path, "", limit);
            (
                id,
                path,
                posted.map(|(status, _)| status),
                deleted.map(|(status, _)| status),
                Instant::now(),
            )
        }));
    }
    let results: Vec<_> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .collect();
    sleep(FROZEN.saturating_sub(stopped_at.elapsed()));
    scene.daemons[frozen].signal("CONT");
    record.write(&format!("{name} wakes"));
    sleep(Duration::from_secs(10));
    let shown: Vec<_> = results
        .iter()
        .map(|(_, path, ..)| state(&record, other, path))
        .collect();
    let fleet = scene.fleet.lock();
    let (mut cancelled, mut broken) = (0, 0);
    for ((id, _, posted, deleted, at), shown) in results.iter().zip(shown) {
        if !matches!(deleted, Some(200..=299 | 410)) {
            continue;
        }
        cancelled += 1;
        let later = fleet
            .starts
            .iter()
            .find(|start| start.task.starts_with(id.as_str()) && start.at > *at + CANCEL);
        if let Some(start) = later {
            broken += 1;
            record.say(&format!(
                "{id}: POST answered {posted:?}, DELETE answered {deleted:?} at {:.3}; {} starts on {} at {:.3}; shown as {shown:?}",
                record.seconds(*at),
                start.task,
                start.worker,
                record.seconds(start.at),
            ));
        }
    }
    record.say(&format!(
        "UNASKED: of {cancelled} submissions whose cancelling was acknowledged {broken} had a task started more than {} ms later",
        CANCEL.as_millis(),
    ));
    if cancelled < SUBMISSIONS {
        Verdict::CannotRun
    } else if broken == 0 {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
