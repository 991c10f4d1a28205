//! An accepted submission never runs: it moves to another cell and back before the first cell
//! has heard that the move was stored.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::caller::Step;
use crate::caller::body;
use crate::caller::send;
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

/// With a share of 0.2 of a processor these make two cells.
const WORKERS: usize = 60;
const CPU_SHARE: f64 = 0.2;
const CAPACITY: u64 = 16_000;
/// Lasting tasks that take most of each worker, but for those that an owner keeps free.
const FILLER_CPU: u64 = 13_000;
const WORKERS_KEPT: u64 = 2;
/// Lasting tasks that come then, and find room on no worker until the others are cancelled.
const LATER: u64 = 18;
const LATER_CPU: u64 = 5_600;
/// Time for the fillers to start, and how many may still look for a worker then.
const FILL_WAIT: Duration = Duration::from_secs(10);
const FILLERS_MISSING_MAX: usize = 2;
/// Time within which the first of them moves to the other cell.
const MOVE_WAIT: Duration = Duration::from_millis(1_500);
/// `platform_slow` of the site file.
const SLOWNESS: u32 = 60;
const SLOW: Duration = Duration::from_millis(4_500);
/// Time for all of them to start, several times over.
const WAIT: Duration = Duration::from_secs(25);

fn id(kind: u64, number: u64) -> String {
    format!("{:016x}", 0x30ed_0000_0000_0000u64 + (kind << 32) + number)
}

/// Submits jobs of one lasting task that name the rack of their data, at the same time.
fn submit_all(scene: &Scene, kind: u64, count: u64, cpu: u64, rack: &str) -> u64 {
    let (fronts, record) = (scene.fronts(), Arc::clone(&scene.record));
    let jobs = (0..count).map(|number| {
        let id = id(kind, number);
        scene.fleet.plan(
            &id,
            0,
            TaskPlan {
                cpu,
                mem: 500,
                ..TaskPlan::default()
            },
        );
        let step = Step::of(1, cpu, 500)
            .with("affinity", Json::text(rack))
            .with("long-running", Json::Bool(true));
        let (fronts, record) = (fronts.clone(), Arc::clone(&record));
        thread::spawn(move || {
            let path = format!("{}{id}", DESK.prefix);
            submit(&record, &fronts, &path, &body(&[step], Vec::new()))
        })
    });
    let jobs: Vec<thread::JoinHandle<bool>> = jobs.collect();
    let accepted = jobs.into_iter().map(|job| job.join().unwrap_or(false));
    accepted.filter(|accepted| *accepted).count() as u64
}

/// The cell that has a submission, from the keys of the store.
fn cell_of(scene: &Scene, id: &str) -> Option<String> {
    let keys = scene.store.keys("sapphirestile/intake/");
    let key = keys.iter().find(|key| key.ends_with(id))?;
    key.split('/').nth(2).map(str::to_owned)
}

pub fn run(folder: &Path, has_trouble: bool) -> Verdict {
    let size = Size {
        daemons: 3,
        workers: WORKERS,
        cpu: CAPACITY,
        mem: 62_500,
        bounds: Bounds {
            remember_s: 120,
            cpu_share: CPU_SHARE,
        },
        is_guarded: true,
    };
    let Some(scene) = Scene::start(folder, size) else {
        return Verdict::CannotRun;
    };
    sleep(Duration::from_secs(8));
    let record = Arc::clone(&scene.record);
    // The cell of each rack.
    let mut racks: Vec<(String, u64)> = Vec::new();
    for worker in &scene.fleet.lock().workers[..WORKERS] {
        match racks.iter_mut().find(|(rack, _)| *rack == worker.rack) {
            Some((_, count)) => *count += 1,
            None => racks.push((worker.rack.clone(), 1)),
        }
    }
    let mut cells: Vec<(String, String, u64)> = Vec::new();
    for (number, (rack, count)) in racks.iter().enumerate() {
        let probe = id(0, number as u64);
        let plan = TaskPlan {
            cpu: 100,
            mem: 10,
            run_ms: Some(100),
            ..TaskPlan::default()
        };
        scene.fleet.plan(&probe, 0, plan);
        let step = Step::of(1, 100, 10).with("affinity", Json::text(rack));
        let text = body(&[step], Vec::new());
        let path = format!("{}{probe}", BATCH.prefix);
        submit(&record, &scene.fronts(), &path, &text);
        let Some(cell) = cell_of(&scene, &probe) else {
            return Verdict::CannotRun;
        };
        match cells.iter_mut().find(|(other, ..)| *other == cell) {
            Some((_, _, workers)) => *workers += count,
            None => cells.push((cell, rack.clone(), *count)),
        }
    }
    if cells.len() != 2 {
        record.say("cannot run: there are not two cells");
        return Verdict::CannotRun;
    }
    let mut fillers = Vec::new();
    for (number, (_, rack, workers)) in cells.iter().enumerate() {
        let (kind, count) = (3 + number as u64, workers - WORKERS_KEPT);
        submit_all(&scene, kind, count, FILLER_CPU, rack);
        fillers.extend((0..count).map(|number| id(kind, number)));
    }
    let end = Instant::now() + FILL_WAIT;
    while running(&scene) < fillers.len() && Instant::now() < end {
        sleep(Duration::from_millis(100));
    }
    sleep(Duration::from_secs(3));
    let running = running(&scene);
    record.say(&format!(
        "cells with a rack and their workers: {cells:?}; {running} lasting tasks fill them"
    ));
    let accepted = submit_all(&scene, 1, LATER, LATER_CPU, &cells[0].1);
    let end = Instant::now() + MOVE_WAIT;
    let moved = format!("sapphirestile/intake/{}/30ed0001", cells[1].0);
    while scene.store.keys(&moved).is_empty() && Instant::now() < end {
        sleep(Duration::from_millis(1));
    }
    record.write("the first of them is stored in the second cell");
    if has_trouble {
        record.write(&format!(
            "the store's answers take {SLOWNESS} times as long"
        ));
        scene.store.slow(SLOWNESS);
    }
    sleep(SLOW);
    scene.store.slow(1);
    record.write("the store's answers take as long as usual");
    sleep(Duration::from_secs(4));
    for id in &fillers {
        let path = format!("{}{id}", DESK.prefix);
        let front = scene.fronts()[0];
        send(&record, front, "DELETE", &path, "", Duration::from_secs(3));
    }
    record.write("the tasks that filled the workers are cancelled");
    sleep(WAIT);
    let begun = |id: &str| {
        let fleet = scene.fleet.lock();
        fleet.starts.iter().any(|start| start.task.starts_with(id))
    };
    let never: Vec<String> = (0..LATER)
        .map(|number| id(1, number))
        .filter(|id| !begun(id))
        .collect();
    for id in &never {
        let path = format!("{}{id}", DESK.prefix);
        let shown = state(&record, scene.fronts()[0], &path);
        let cell = cell_of(&scene, id);
        record.say(&format!(
            "{id} has not begun; it is in cell {cell:?} and shown as {shown:?}"
        ));
    }
    let moves = scene.logged("job moves to another cell").len();
    record.say(&format!(
        "{accepted} of {LATER} submissions accepted; {moves} moves decided"
    ));
    record.say(&format!(
        "LOST: {} of {LATER} accepted submissions have not begun; {} tasks run on {WORKERS} workers",
        never.len(),
        self::running(&scene),
    ));
    if accepted < LATER || running + FILLERS_MISSING_MAX < fillers.len() {
        Verdict::CannotRun
    } else if never.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

/// Number of tasks that run.
fn running(scene: &Scene) -> usize {
    let fleet = scene.fleet.lock();
    fleet.workers.iter().map(|worker| worker.runs()).sum()
}
