//! A runner that has crashed comes back under its id and is of another, smaller kind. It gets
//! work by the kind that it had.

use std::path::Path;
use std::thread;
use std::time::Duration;

use sapphirestile_platform_standins::LongRun;
use sapphirestile_platform_standins::SiteBodies;
use serde_json::json;

use crate::Verdict;
use crate::caller;
use crate::record::Record;
use crate::site::Site;

/// The runners: one of them is a share of 0.125.
const RUNNERS: usize = 8;

/// The runner that crashes.
const RUNNER: usize = 0;
const RUNNER_ID: &str = "i-0";

/// How long it is down, in seconds.
const DOWN: Duration = Duration::from_millis(1_500);

/// How long after its start the new life has its entry in the store: less than `heartbeat-ms`.
const REGISTERED_AFTER: Duration = Duration::from_millis(800);

/// The processor share of the first kind and of the second, in thousandths of a core.
const FIRST_CPU: u64 = 4_000;
const SECOND_CPU: u64 = 2_000;

/// Their names, which are the first of the runner's labels.
const FIRST_KIND: &str = "a";
const SECOND_KIND: &str = "b";

/// Tasks of the job, and what each asks for: they fill all runners.
const TASKS: u64 = 32;
const TASK_CPU: u64 = 1_000;

const JOB: &str = "/charts/00000000000000c0";

pub fn changed_kind(folder: &Path, has_trouble: bool) -> Verdict {
    let Ok(record) = Record::create(folder) else {
        return Verdict::CouldNotRun;
    };
    // The runners of the service do not guard their capacity.
    let config = SiteBodies::config_version(3, 0)
        .replace("\"admission-check\":true", "\"admission-check\":false");
    let Some(site) = Site::start_with("changed-kind", &record, &config, RUNNERS) else {
        return Verdict::CouldNotRun;
    };
    thread::sleep(Duration::from_secs(2));
    let callers = site.daemons[0].callers;
    let lasting = |count: u64, cpu: u64| {
        json!({
            "spec": "stay",
            "steps": [{
                "count": count, "cpu": cpu, "mem-mb": 100, "long-running": true,
                "required-label": FIRST_KIND,
            }],
        })
        .to_string()
    };
    let answer = caller::send(callers, "POST", JOB, &lasting(TASKS, TASK_CPU));
    record.line(&format!(
        "POST {JOB}, {TASKS} tasks that last, each of {TASK_CPU}, with the required label \
         {FIRST_KIND}: {}",
        caller::shown(&answer)
    ));
    thread::sleep(Duration::from_secs(1));
    let (restored_ms, cpu, kind) = if has_trouble {
        change_runner(&site, &record)
    } else {
        (0, FIRST_CPU, FIRST_KIND)
    };
    thread::sleep(Duration::from_secs(6));
    let runs: Vec<LongRun> = site
        .workers
        .long_runs()
        .into_iter()
        .filter(|run| run.worker == RUNNER_ID && run.started_ms >= restored_ms)
        .collect();
    let mut is_broken = false;
    for run in &runs {
        let at_work = |other: &&LongRun| {
            other.started_ms <= run.started_ms
                && other
                    .end
                    .as_ref()
                    .is_none_or(|end| end.ended_ms > run.started_ms)
        };
        let used = TASK_CPU * runs.iter().filter(at_work).count() as u64;
        record.line(&format!(
            "{} run {} started {} ms after the start of this life; at work there: {used} of {cpu}, \
             kind {kind}",
            run.task,
            run.run,
            run.started_ms - restored_ms
        ));
        is_broken |= used > cpu;
    }
    if runs.is_empty() {
        record.line("nothing started there");
    }
    if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Lets the runner crash and start again as another kind. Returns when its new life began, and
/// what it has and is.
fn change_runner(site: &Site, record: &Record) -> (u64, u64, &'static str) {
    record.line(&format!("runner {RUNNER_ID} crashes"));
    site.workers.lose_power(RUNNER);
    site.worker_ways[RUNNER].set_down(true);
    thread::sleep(DOWN);
    let born = site.workers.restore_power(RUNNER, RUNNER_ID);
    let restored_ms = site.workers.clock_ms();
    site.worker_ways[RUNNER].set_down(false);
    let (cpu, kind) = (SECOND_CPU, SECOND_KIND);
    record.line(&format!(
        "{RUNNER_ID} starts again, of kind {kind} with {cpu}, born {born}"
    ));
    thread::sleep(REGISTERED_AFTER);
    let entry =
        SiteBodies::restarted_worker_entry(site.worker_ways[RUNNER].address(), "r1-1", born)
            .replace("\"cpu\":4000", &format!("\"cpu\":{cpu}"))
            .replace(
                &format!("\"labels\":[\"{FIRST_KIND}\""),
                &format!("\"labels\":[\"{kind}\""),
            );
    record.line(&format!("the entry of {RUNNER_ID}: {entry}"));
    site.store.put(&SiteBodies::worker_key(RUNNER_ID), &entry);
    (restored_ms, cpu, kind)
}
