//! A cancelled task works on after the channels to the workers went silent.

use std::path::Path;
use std::thread;
use std::time::Duration;

use sapphirestile_platform_standins::LongRun;
use serde_json::json;

use crate::Verdict;
use crate::caller;
use crate::record::Record;
use crate::scenes::wait_until;
use crate::site::Site;

/// Bounds of the deployment, in seconds.
const CANCEL_S: f64 = 3.0;
const STOP_TIMEOUT_S: f64 = 0.9;
const ACK_TIMEOUT_S: f64 = 4.0;

/// What the check leaves beyond them, in seconds.
const MARGIN_S: f64 = 0.1;

/// When the job is cancelled after the channels went silent, in seconds: later than
/// `stable-ms`.
const CANCELLED_AFTER_S: f64 = 3.3;

/// How long the run is watched after the cancellation, in seconds.
const WATCHED_S: f64 = 14.0;

const LASTING: &str = "/charts/00000000000000b0";
const SHORT: &str = "/charts/00000000000000b1";

pub fn cancelled_run(folder: &Path, has_trouble: bool) -> Verdict {
    let Ok(record) = Record::create(folder) else {
        return Verdict::CouldNotRun;
    };
    let Some(site) = Site::start("cancelled-run", &record) else {
        return Verdict::CouldNotRun;
    };
    thread::sleep(Duration::from_secs(2));
    let callers = site.daemons[0].callers;
    let lasting = json!({
        "spec": "stay",
        "steps": [{"count": 1, "cpu": 500, "mem-mb": 100, "long-running": true}],
    });
    let short = json!({
        "spec": "800",
        "steps": [{"count": 6, "cpu": 500, "mem-mb": 100, "estimate-ms": 800}],
    });
    let answer = caller::send(callers, "POST", LASTING, &lasting.to_string());
    record.line(&format!(
        "POST {LASTING}, one task that lasts: {}",
        caller::shown(&answer)
    ));
    thread::sleep(Duration::from_secs(1));
    if current_run(&site).is_none() {
        record.line("the task does not run");
        return Verdict::CouldNotRun;
    }
    let answer = caller::send(callers, "POST", SHORT, &short.to_string());
    record.line(&format!(
        "POST {SHORT}, six short tasks: {}",
        caller::shown(&answer)
    ));
    thread::sleep(Duration::from_millis(1_500));
    record.line(&format!("GET {SHORT}: {}", site.state(0, SHORT)));
    let silent_at = record.now();
    if has_trouble {
        for (number, way) in site.worker_ways.iter().enumerate() {
            let open = way.silence_open_channels();
            record.line(&format!("{open} channels to runner i-{number} go silent"));
        }
    }
    wait_until(&record, silent_at + CANCELLED_AFTER_S);
    let Some(run) = current_run(&site) else {
        record.line("the task does not run any more");
        return Verdict::CouldNotRun;
    };
    record.line(&format!(
        "{} run {} is at work on {}",
        run.task, run.run, run.worker
    ));
    let sent = record.now();
    let answer = caller::send(callers, "DELETE", LASTING, "");
    record.line(&format!("DELETE {LASTING}: {}", caller::shown(&answer)));
    let is_acknowledged = answer.is_some_and(|answer| answer.0 / 100 == 2);
    let from = if is_acknowledged {
        record.now()
    } else {
        sent + ACK_TIMEOUT_S
    };
    let end = from + CANCEL_S + STOP_TIMEOUT_S + MARGIN_S;
    wait_until(&record, end);
    let is_broken = current_run(&site).is_some();
    record.line(&format!(
        "{:.1} s after the acknowledgement the task {}",
        record.now() - from,
        if is_broken { "still runs" } else { "has ended" }
    ));
    while current_run(&site).is_some() && record.now() < from + WATCHED_S {
        thread::sleep(Duration::from_millis(20));
    }
    record.line(&format!(
        "it ran until {:.1} s after the acknowledgement",
        record.now() - from
    ));
    for run in site.workers.long_runs() {
        record.line(&format!("{run:?}"));
    }
    if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// The run of the task that lasts, while there is one.
fn current_run(site: &Site) -> Option<LongRun> {
    // A state is read first: the fleet ends what is due when it is looked at.
    let _ = site.workers.running();
    let mut runs = site.workers.long_runs().into_iter();
    runs.find(|run| run.end.is_none())
}
