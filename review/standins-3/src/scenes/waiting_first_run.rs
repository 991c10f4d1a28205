//! A new task that lasts waits with room for it, since another task waits for which there is
//! none.

use std::path::Path;
use std::thread;
use std::time::Duration;

use sapphirestile_platform_standins::SiteBodies;
use serde_json::json;

use crate::Verdict;
use crate::caller;
use crate::record::Record;
use crate::scenes::wait_until;
use crate::site::Site;

/// The runners: one of them is a share of 0.125.
const RUNNERS: usize = 8;

/// How long a runner serves on after it has reported that it drains, in seconds:
/// `drain-timeout-ms` and a little longer.
const DRAIN_S: f64 = 3.0;

/// The calm before the new submission, in seconds: more than the 4 s of the rule, and more than
/// `stable-ms`.
const CALM_S: f64 = 7.0;

/// A task that lasts has to run from 6 s after its last run on, within 3 s. A new one is given
/// both here.
const WAIT_MAX_S: f64 = 9.0;

const MARGIN_S: f64 = 0.1;

/// How long the new task is waited for, in seconds.
const WATCHED_S: f64 = 40.0;

/// What a runner has, and what the tasks ask for, in thousandths of a core.
const RUNNER_CPU: u64 = 4_000;
const SMALL_CPU: u64 = 1_500;
const LARGE_CPU: u64 = 3_000;
const NEW_CPU: u64 = 500;

const SMALL: &str = "00000000000000d0";
const LARGE: &str = "00000000000000d1";
const NEW: &str = "00000000000000d2";

pub fn waiting_first_run(folder: &Path, has_trouble: bool) -> Verdict {
    let Ok(record) = Record::create(folder) else {
        return Verdict::CouldNotRun;
    };
    let Some(site) = Site::start_with(
        "waiting-first-run",
        &record,
        &SiteBodies::config_version(3, 0),
        RUNNERS,
    ) else {
        return Verdict::CouldNotRun;
    };
    thread::sleep(Duration::from_secs(2));
    let runner_of = |job: &str| {
        let _ = site.workers.running();
        let runs = site.workers.long_runs();
        let mut current = runs.into_iter().filter(|run| run.end.is_none());
        current
            .find(|run| run.task.starts_with(job))
            .map(|run| run.worker)
    };
    let post = |job: &str, count: usize, cpu: u64| {
        let body = json!({
            "spec": "stay",
            "steps": [{
                "count": count, "cpu": cpu, "mem-mb": 100, "long-running": true,
                "max-per-server": 1,
            }],
        });
        let answer = caller::send(
            site.daemons[0].callers,
            "POST",
            &format!("/charts/{job}"),
            &body.to_string(),
        );
        let shown = caller::shown(&answer);
        record.line(&format!(
            "POST {job}, {count} tasks that last, of {cpu}, on a runner each: {shown}"
        ));
        answer.is_some_and(|answer| answer.0 == 200)
    };
    // The large task first, so that each small one gets another runner.
    for (job, count, cpu) in [(LARGE, 1, LARGE_CPU), (SMALL, RUNNERS - 1, SMALL_CPU)] {
        if !post(job, count, cpu) {
            return Verdict::CouldNotRun;
        }
        thread::sleep(Duration::from_secs(1));
    }
    let _ = site.workers.running();
    let runs = site.workers.long_runs();
    let mut small_runners: Vec<&str> = runs
        .iter()
        .filter(|run| run.end.is_none() && run.task.starts_with(SMALL))
        .map(|run| run.worker.as_str())
        .collect();
    small_runners.sort_unstable();
    let Some(large_runner) = runner_of(LARGE) else {
        return Verdict::CouldNotRun;
    };
    record.line(&format!(
        "{SMALL} runs on {small_runners:?}, {LARGE} on {large_runner}"
    ));
    if small_runners.len() != RUNNERS - 1 || small_runners.contains(&large_runner.as_str()) {
        return Verdict::CouldNotRun;
    }
    let index: usize = large_runner.trim_start_matches("i-").parse().unwrap_or(0);
    let key = SiteBodies::worker_key(&large_runner);
    let leaves = record.now();
    if has_trouble {
        let address = site.worker_ways[index].address();
        site.store
            .put(&key, &SiteBodies::leaving_worker_entry(address, "r1-1"));
        record.line(&format!("{large_runner} reports that it drains"));
        wait_until(&record, leaves + DRAIN_S);
        site.workers.lose_power(index);
        site.worker_ways[index].set_down(true);
        site.store.remove(&key);
        record.line(&format!("{large_runner} has left"));
    }
    wait_until(&record, leaves + DRAIN_S + CALM_S);
    if !post(NEW, 1, NEW_CPU) {
        return Verdict::CouldNotRun;
    }
    let accepted = record.now();
    record.line(&format!(
        "room on each of the other runners: {} of {RUNNER_CPU}; {LARGE} runs on {:?}",
        RUNNER_CPU - SMALL_CPU,
        runner_of(LARGE)
    ));
    while runner_of(NEW).is_none() && record.now() < accepted + WATCHED_S {
        thread::sleep(Duration::from_millis(20));
    }
    let waited = record.now() - accepted;
    let runner = runner_of(NEW);
    record.line(&format!(
        "{NEW} runs on {runner:?}, {waited:.1} s after its acceptance"
    ));
    record.line(&format!(
        "GET {NEW}: {}",
        site.state(0, &format!("/charts/{NEW}"))
    ));
    if waited > WAIT_MAX_S + MARGIN_S {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
