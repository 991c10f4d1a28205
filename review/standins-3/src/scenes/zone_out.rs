//! Tasks start in a zone that was taken out after the channels to the store went silent.

use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::Verdict;
use crate::caller;
use crate::record::Record;
use crate::scenes::ask_at_once;
use crate::scenes::wait_until;
use crate::site::Site;

/// Callers of each daemon that ask at the same time.
const CALLERS: usize = 30;

/// Bounds of the deployment, in seconds.
const STABLE_S: f64 = 3.0;
const EVACUATE_S: f64 = 5.0;

/// What the check leaves beyond them, in seconds.
const MARGIN_S: f64 = 0.1;

/// How long submissions come after the channels went silent, and how long their starts are
/// watched, in seconds.
const SUBMITTED_S: f64 = 9.0;
const WATCHED_S: f64 = 14.0;

/// How often it is tried, until a start is late: it depends on when the watches of the daemons
/// began, and on which of them first reaches the store again.
const ROUNDS: usize = 4;

const BETWEEN_ROUNDS: Duration = Duration::from_secs(5);

const ZONE_KEY: &str = "op/evacuate/near-a";

const SUBMISSION_INTERVAL: Duration = Duration::from_millis(400);

pub fn zone_out(folder: &Path, has_trouble: bool) -> Verdict {
    let Ok(record) = Record::create(folder) else {
        return Verdict::CouldNotRun;
    };
    let Some(site) = Site::start("zone-out", &record) else {
        return Verdict::CouldNotRun;
    };
    thread::sleep(Duration::from_secs(2));
    for round in 0..ROUNDS {
        if play_round(&site, round, has_trouble, &record) > 0 {
            return Verdict::Broken;
        }
        thread::sleep(BETWEEN_ROUNDS);
    }
    Verdict::Held
}

/// Takes the zone out after the channels went silent, and takes it back in the end. Returns the
/// number of starts beyond the bound.
fn play_round(site: &Site, round: usize, has_trouble: bool, record: &Record) -> usize {
    record.line(&format!("round {round}"));
    let targets: Vec<_> = site.daemons.iter().map(|daemon| daemon.callers).collect();
    ask_at_once(&targets, CALLERS, record);
    thread::sleep(Duration::from_millis(1_500));
    let fleet_started = record.now() - milliseconds(site.workers.clock_ms());
    let silent_at = record.now();
    if has_trouble {
        for (way, daemon) in site.store_ways.iter().zip(&site.daemons) {
            let open = way.silence_open_channels();
            record.line(&format!(
                "{open} channels of {} to the store go silent",
                daemon.name
            ));
        }
    }
    thread::sleep(Duration::from_millis(200));
    site.store.put(ZONE_KEY, "{}");
    let acknowledged = record.now();
    record.line("the evacuation of near-a, where all runners are, is acknowledged");
    submit(&targets, round, silent_at + SUBMITTED_S, record);
    wait_until(record, silent_at + WATCHED_S);
    let bound = (silent_at + STABLE_S).max(acknowledged + EVACUATE_S) + MARGIN_S;
    let mut late = 0;
    for run in site.workers.long_runs() {
        let started = fleet_started + milliseconds(run.started_ms);
        if started < acknowledged {
            continue;
        }
        record.line(&format!(
            "{} run {} started on {} at {started:.3} s, {:.3} s after the acknowledgement",
            run.task,
            run.run,
            run.worker,
            started - acknowledged
        ));
        late += usize::from(started > bound);
    }
    record.line(&format!("{late} starts in the zone beyond the bound"));
    site.store.remove(ZONE_KEY);
    late
}

/// Hands in submissions of one task that lasts, at the daemons in turn.
fn submit(targets: &[SocketAddr], round: usize, end: f64, record: &Record) {
    let mut posts = Vec::new();
    for (number, address) in targets.iter().cycle().copied().enumerate() {
        if record.now() > end {
            break;
        }
        let record = record.clone();
        posts.push(thread::spawn(move || {
            let job = format!("/charts/0000000000000{:x}{number:02x}", round + 1);
            let body = json!({
                "spec": "stay",
                "steps": [{"count": 1, "cpu": 50, "mem-mb": 10, "long-running": true}],
            });
            let answer = caller::send(address, "POST", &job, &body.to_string());
            record.line(&format!("POST {job}: {}", caller::shown(&answer)));
        }));
        thread::sleep(SUBMISSION_INTERVAL);
    }
    for post in posts {
        let _ = post.join();
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a scene takes two minutes at most"
)]
fn milliseconds(milliseconds: u64) -> f64 {
    milliseconds as f64 / 1_000.0
}
