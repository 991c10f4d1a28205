//! A daemon that has owned the runners keeps its channels to them, and the next owner gets none.

use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use sapphirestile_platform_standins::SiteBodies;
use serde_json::json;

use crate::Verdict;
use crate::caller;
use crate::record::Record;
use crate::scenes::wait_until;
use crate::site::Site;

/// How long the owner is frozen, in seconds.
const FROZEN_S: f64 = 4.0;

/// The calm before the new submission, in seconds: more than the 4 s of the rule, and more than
/// `stable-ms`.
const CALM_S: f64 = 5.0;

/// How long a submission may have nothing running, in seconds: 6 s and 3 s.
const WAIT_MAX_S: f64 = 9.0;

const MARGIN_S: f64 = 0.1;

/// How long the new task is waited for, in seconds.
const WATCHED_S: f64 = 60.0;

/// The runners have 64 cores and 250 GB, as the pages say.
const CAPACITY: [(&str, &str); 2] = [
    ("\"cpu\":4000", "\"cpu\":64000"),
    ("\"mem-mb\":4096", "\"mem-mb\":250000"),
];

/// How often the record says what runs meanwhile, in seconds.
const SHOWN_INTERVAL_S: f64 = 3.0;

const LASTING: &str = "00000000000000e0";
const SHORT: &str = "00000000000000e2";
const NEW: &str = "00000000000000e1";

pub fn kept_channels(folder: &Path, has_trouble: bool) -> Verdict {
    let Ok(record) = Record::create(folder) else {
        return Verdict::CouldNotRun;
    };
    let Some(site) = Site::start("kept-channels", &record) else {
        return Verdict::CouldNotRun;
    };
    for (index, way) in site.worker_ways.iter().enumerate() {
        let mut entry = SiteBodies::worker_entry(way.address());
        for (small, large) in CAPACITY {
            entry = entry.replace(small, large);
        }
        site.store
            .put(&SiteBodies::worker_key(&format!("i-{index}")), &entry);
    }
    thread::sleep(Duration::from_secs(2));
    let Some(owner) = owner_of(&site) else {
        return Verdict::CouldNotRun;
    };
    let other = (owner + 1) % site.daemons.len();
    let wide = |text: &str, is_lasting: bool| {
        json!({
            "spec": text,
            "steps": [{
                "count": 64, "cpu": 1_000, "mem-mb": 1_000, "estimate-ms": 1_000,
                "long-running": is_lasting,
            }],
        })
        .to_string()
    };
    for (job, text, is_lasting) in [(LASTING, "stay", true), (SHORT, "1000", false)] {
        let path = format!("/charts/{job}");
        let body = wide(text, is_lasting);
        let answer = caller::send(site.daemons[other].callers, "POST", &path, &body);
        let kind = if is_lasting { "that last" } else { "of 1 s" };
        record.line(&format!(
            "POST {path}, 64 tasks of a core {kind}: {}",
            caller::shown(&answer)
        ));
        thread::sleep(Duration::from_secs(2));
    }
    let end = Instant::now() + Duration::from_secs(15);
    while !site
        .state(other, &format!("/charts/{SHORT}"))
        .contains("completed")
    {
        if Instant::now() > end {
            record.line("it did not complete");
            return Verdict::CouldNotRun;
        }
        thread::sleep(Duration::from_millis(100));
    }
    let at_work = |job: &str| {
        let _ = site.workers.running();
        let runs = site.workers.long_runs().into_iter();
        let runs = runs.filter(|run| run.end.is_none() && run.task.starts_with(job));
        runs.count()
    };
    let show_channels = || {
        for (index, way) in site.worker_ways.iter().enumerate() {
            record.line(&format!(
                "runner i-{index} has {} of 64 channels open",
                way.open_channels()
            ));
        }
    };
    record.line(&format!(
        "{SHORT} is completed; of {LASTING} {} tasks run",
        at_work(LASTING)
    ));
    show_channels();
    let frozen = record.now();
    if has_trouble {
        record.line(&format!(
            "{}, which owns the runners, is frozen",
            site.daemons[owner].name
        ));
        if !site.daemons[owner].signal("STOP") {
            return Verdict::CouldNotRun;
        }
        wait_until(&record, frozen + FROZEN_S);
        if !site.daemons[owner].signal("CONT") {
            return Verdict::CouldNotRun;
        }
        record.line("it works again");
    }
    wait_until(&record, frozen + FROZEN_S + CALM_S);
    let Some(next) = owner_of(&site) else {
        return Verdict::CouldNotRun;
    };
    record.line(&format!("{} owns the runners", site.daemons[next].name));
    show_channels();
    let body = json!({
        "spec": "stay",
        "steps": [{"count": 1, "cpu": 500, "mem-mb": 100, "long-running": true}],
    });
    let job = format!("/charts/{NEW}");
    let answer = caller::send(site.daemons[other].callers, "POST", &job, &body.to_string());
    record.line(&format!(
        "POST {job}, one task that lasts: {}",
        caller::shown(&answer)
    ));
    if answer.is_none_or(|answer| answer.0 != 200) {
        return Verdict::CouldNotRun;
    }
    let accepted = record.now();
    let mut shown = accepted;
    while at_work(NEW) == 0 && record.now() < accepted + WATCHED_S {
        thread::sleep(Duration::from_millis(20));
        if record.now() > shown + SHOWN_INTERVAL_S {
            shown = record.now();
            record.line(&format!("of {LASTING} {} tasks run", at_work(LASTING)));
        }
    }
    let waited = record.now() - accepted;
    let what = if at_work(NEW) > 0 {
        "first ran"
    } else {
        "had not run"
    };
    record.line(&format!("{NEW} {what} {waited:.1} s after its acceptance"));
    show_channels();
    if waited > WAIT_MAX_S + MARGIN_S {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// The daemon that owns the runners, as the store says.
fn owner_of(site: &Site) -> Option<usize> {
    let (row, _) = site.store.row("sapphirestile/cells/head-0")?;
    let text = String::from_utf8_lossy(&row);
    let names = site.daemons.iter().map(|daemon| daemon.name.as_str());
    names
        .enumerate()
        .find(|(_, name)| text.contains(name))
        .map(|(index, _)| index)
}
