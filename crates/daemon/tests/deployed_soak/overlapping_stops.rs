//! Callers on open connections through a series of overlapping stops, reloads and changes of
//! the configuration.

use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sapphirestile_platform_standins::SiteBodies;
use sapphirestile_platform_standins::StoreStandin;
use sapphirestile_platform_standins::open_port;
use sapphirestile_serving::HttpService;
use sapphirestile_test_support::ProxyMode;
use serde_json::Value;
use test_case::test_case;

use crate::busy_daemon::BusyDaemon;
use crate::busy_daemon::CALLERS_PER_DAEMON;
use crate::channel_caller::ChannelCaller;
use crate::config_log::ConfigLog;

const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");
const DAEMONS: usize = 3;
const ROUNDS: u64 = 3;

/// The longest pause between two steps, in milliseconds: a stop takes several of them.
const PAUSE_MAX_MS: u64 = 700;

/// What the store does while a daemon stops.
const STORE_MODES: [ProxyMode; 3] = [
    ProxyMode::Forwarding,
    ProxyMode::Delayed(Duration::from_millis(40)),
    ProxyMode::Stalled,
];

/// A request on an open connection that was read near the end of a stop got no answer.
#[test_case(1, 80; "seed 1")]
#[test_case(2, 90; "seed 2")]
fn each_request_that_a_stopping_daemon_has_read_is_answered(seed: u64, subnet: u8) {
    let folder = empty_folder(seed);
    let mut random = StdRng::seed_from_u64(seed);
    let mut configs = ConfigLog::new(seed, DAEMONS);
    let store = Arc::new(StoreStandin::default());
    let config = SiteBodies::config_version(configs.latest(), 0);
    store.put(SiteBodies::CONFIG_KEY, &config);
    let service: Arc<dyn HttpService> = store.clone();
    let store_port = open_port(&service);
    let mut daemons: Vec<BusyDaemon> = (subnet..)
        .take(DAEMONS)
        .map(|second| BusyDaemon::start(&folder, second, store_port.address()))
        .collect();
    for round in 0..ROUNDS {
        for daemon in &mut daemons {
            daemon.enter_rotation();
            pause(&mut random);
            for version in configs.draw() {
                store.put(SiteBodies::CONFIG_KEY, &version);
            }
            let mode = STORE_MODES[random.random_range(0..STORE_MODES.len())];
            daemon.reload_and_stop(mode);
        }
        for daemon in &mut daemons {
            daemon.wait_for_end();
            if round + 1 < ROUNDS {
                daemon.restart();
            }
        }
    }
    for daemon in daemons {
        let log = daemon.log_path();
        assert_answered(&log, &daemon.into_callers());
    }
}

fn empty_folder(seed: u64) -> PathBuf {
    let folder = PathBuf::from(format!("{FOLDER}/overlapping-stops-{seed}"));
    // The folder does not exist at the first run.
    let _removed = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("the folder for settings and logs can be created");
    folder
}

fn pause(random: &mut StdRng) {
    let pause_ms = random.random_range(0..PAUSE_MAX_MS);
    thread::sleep(Duration::from_millis(pause_ms));
}

/// Checks that the callers have an answer for each request that the daemon read in its lives.
fn assert_answered(log: &Path, callers: &[ChannelCaller]) {
    let stops = stop_lines(log);
    let lives = usize::try_from(ROUNDS).expect("the rounds are few");
    assert_eq!(stops.len(), lives, "{}: lives with a stop", log.display());
    let total = |name: &str| -> u64 {
        let counts = stops.iter().map(|stop| stop[name].as_u64());
        counts.map(|count| count.expect("a stop is counted")).sum()
    };
    let answers: u64 = callers.iter().map(ChannelCaller::answers).sum();
    let crossed: u64 = callers.iter().map(ChannelCaller::crossed).sum();
    let (read, refused) = (total("read"), total("refused"));
    println!(
        "{}: read {read}, refused {refused}, answers {answers}, crossed {crossed}",
        log.display()
    );
    // A refusal ends its connection, and new connections go to other daemons.
    let refusals_max = CALLERS_PER_DAEMON * ROUNDS;
    assert!(
        refused <= refusals_max,
        "{}: {refused} refusals",
        log.display()
    );
    assert_eq!(total("unanswered"), 0, "{}", log.display());
    assert!(
        answers >= read,
        "{}: {answers} answers to {read}",
        log.display()
    );
}

fn stop_lines(log: &Path) -> Vec<Value> {
    let text = std::fs::read_to_string(log).expect("the daemon has a log");
    text.lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok())
        .map(|mut line| line["fields"].take())
        .filter(|fields| fields["message"] == "stopped")
        .collect()
}
