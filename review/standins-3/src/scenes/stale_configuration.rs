//! A daemon goes on with an old configuration after its channels to the store went silent.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use sapphirestile_platform_standins::SiteBodies;

use crate::Verdict;
use crate::caller;
use crate::record::Record;
use crate::scenes::ask_at_once;
use crate::scenes::wait_until;
use crate::site::Site;

/// Callers of each daemon that ask at the same time.
const CALLERS: usize = 12;

/// The bounds of the deployment, in seconds.
const STABLE_S: f64 = 3.0;
const CONFIG_APPLY_S: f64 = 2.5;

/// What the check leaves beyond them, in seconds.
const MARGIN_S: f64 = 0.1;

/// How long the new queue is asked for after the channels went silent, in seconds.
const ASKED_S: f64 = 9.0;

pub fn stale_configuration(folder: &Path, has_trouble: bool) -> Verdict {
    let Ok(record) = Record::create(folder) else {
        return Verdict::CouldNotRun;
    };
    let Some(site) = Site::start("stale-configuration", &record) else {
        return Verdict::CouldNotRun;
    };
    thread::sleep(Duration::from_secs(2));
    let targets: Vec<_> = site.daemons.iter().map(|daemon| daemon.callers).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    // One caller of each daemon asks twice a second all the while.
    for address in targets.clone() {
        let is_over = Arc::clone(&is_over);
        threads.push(thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                let _ = caller::send(address, "GET", "/charts/00000000000000a0", "");
                thread::sleep(Duration::from_millis(500));
            }
        }));
    }
    ask_at_once(&targets, CALLERS, &record);
    thread::sleep(Duration::from_millis(1_500));
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
    site.store
        .put(SiteBodies::CONFIG_KEY, &SiteBodies::config_version(4, 0));
    let acknowledged = record.now();
    record.line("configuration 4, which adds the queue /version-4/, is acknowledged");
    let from = (silent_at + STABLE_S).max(acknowledged + CONFIG_APPLY_S) + MARGIN_S;
    wait_until(&record, from);
    record.line("from here each daemon is in touch and the bound has passed");
    let asked: Vec<_> = site
        .daemons
        .iter()
        .map(|daemon| {
            let (record, name, address) = (record.clone(), daemon.name.clone(), daemon.callers);
            thread::spawn(move || ask_for_queue(&record, &name, address, silent_at + ASKED_S))
        })
        .collect();
    let late: usize = asked
        .into_iter()
        .map(|asked| asked.join().unwrap_or(0))
        .sum();
    is_over.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    record.line(&format!(
        "{late} requests were refused with 404 though the route is there"
    ));
    if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Asks a daemon for the new queue until `end`. Returns how often it said that there is none.
fn ask_for_queue(record: &Record, name: &str, address: std::net::SocketAddr, end: f64) -> usize {
    let mut refused = 0;
    while record.now() < end {
        let sent = record.now();
        let answer = caller::send(address, "GET", "/version-4/", "");
        let shown = caller::shown(&answer);
        record.line(&format!(
            "{name} GET /version-4/ sent at {sent:.3}: {shown}"
        ));
        refused += usize::from(answer.is_some_and(|answer| answer.0 == 404));
        thread::sleep(Duration::from_millis(200));
    }
    refused
}
