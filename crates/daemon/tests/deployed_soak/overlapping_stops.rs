//! Callers on open connections through a series of overlapping stops, reloads and changes of
//! the configuration.

use std::net::Ipv4Addr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use nix::sys::signal::Signal;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sapphirestile_platform_standins::SiteBodies;
use sapphirestile_platform_standins::StoreStandin;
use sapphirestile_platform_standins::open_port;
use sapphirestile_serving::HttpService;
use sapphirestile_test_support::FaultProxy;
use sapphirestile_test_support::ProxyMode;
use serde_json::Value;
use test_case::test_case;

use crate::channel_caller::ChannelCaller;
use crate::config_log::ConfigLog;
use crate::soak_daemon::SoakDaemon;

const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");
const DAEMONS: usize = 3;
const CALLERS_PER_DAEMON: u64 = 8;
const ROUNDS: u64 = 3;

/// The longest time that the slowest caller thinks between two requests, in milliseconds: its
/// connection may be open and idle through most of a stop.
const THINK_MAX_MS: u64 = 3_000;

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
    let folder = PathBuf::from(format!("{FOLDER}/overlapping-stops-{seed}"));
    // The folder does not exist at the first run.
    let _removed = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("the folder for settings and logs can be created");
    let mut random = StdRng::seed_from_u64(seed);
    let mut configs = ConfigLog::new(seed, DAEMONS);
    let store = Arc::new(StoreStandin::default());
    let config = SiteBodies::config_version(configs.latest(), 0);
    store.put(SiteBodies::CONFIG_KEY, &config);
    let service: Arc<dyn HttpService> = store.clone();
    let store_port = open_port(&service);
    let links: Vec<FaultProxy> = (0..DAEMONS)
        .map(|_| FaultProxy::start(store_port.address()))
        .collect();
    let mut daemons: Vec<SoakDaemon> = (subnet..)
        .zip(&links)
        .map(|(second, link)| {
            let address = Ipv4Addr::new(127, second, 0, 1);
            SoakDaemon::start(&folder, &format!("entry-{second}"), address, link.address())
        })
        .collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let rotation: Vec<Arc<AtomicBool>> = (0..DAEMONS).map(|_| Arc::default()).collect();
    let callers: Vec<Vec<JoinHandle<ChannelCaller>>> = daemons
        .iter()
        .zip(&rotation)
        .map(|(daemon, is_in_rotation)| spawn_callers(daemon, is_in_rotation, &is_over))
        .collect();
    for round in 0..ROUNDS {
        for ((daemon, link), is_in_rotation) in daemons.iter_mut().zip(&links).zip(&rotation) {
            daemon.wait_for_start();
            is_in_rotation.store(true, Ordering::Release);
            pause(&mut random);
            for version in configs.draw() {
                store.put(SiteBodies::CONFIG_KEY, &version);
            }
            daemon.reload();
            link.set_mode(STORE_MODES[random.random_range(0..STORE_MODES.len())]);
            daemon.signal(Signal::SIGTERM);
            is_in_rotation.store(false, Ordering::Release);
        }
        for (daemon, link) in daemons.iter_mut().zip(&links) {
            daemon.wait_for_end();
            link.restore();
            if round + 1 < ROUNDS {
                daemon.resume_or_restart();
            }
        }
    }
    is_over.store(true, Ordering::Release);
    for (daemon, callers) in daemons.iter().zip(callers) {
        let callers: Vec<ChannelCaller> = callers
            .into_iter()
            .map(|caller| caller.join().expect("no answer is cut"))
            .collect();
        assert_answered(daemon.log_path(), &callers);
    }
}

fn pause(random: &mut StdRng) {
    let pause_ms = random.random_range(0..PAUSE_MAX_MS);
    thread::sleep(Duration::from_millis(pause_ms));
}

fn spawn_callers(
    daemon: &SoakDaemon,
    is_in_rotation: &Arc<AtomicBool>,
    is_over: &Arc<AtomicBool>,
) -> Vec<JoinHandle<ChannelCaller>> {
    let address = daemon.callers();
    (0..CALLERS_PER_DAEMON)
        .map(|number| {
            let is_in_rotation = Arc::clone(is_in_rotation);
            let is_over = Arc::clone(is_over);
            let think_max_ms = THINK_MAX_MS * number / CALLERS_PER_DAEMON;
            thread::spawn(move || {
                let mut caller = ChannelCaller::new(address, number, think_max_ms);
                while !is_over.load(Ordering::Acquire) {
                    caller.use_one_channel(&is_in_rotation);
                }
                caller
            })
        })
        .collect()
}

/// Checks that the callers have an answer for each request that the daemon read in its lives.
fn assert_answered(log: PathBuf, callers: &[ChannelCaller]) {
    let stops = stop_lines(&log);
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
