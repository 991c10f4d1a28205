//! Planned stops while callers keep using their open connections.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use nix::sys::signal::Signal;
use sapphirestile_clients::http::CallLimits;
use sapphirestile_clients::http::CallRequest;
use sapphirestile_clients::http::HeaderView;
use sapphirestile_clients::http::HttpClient;
use sapphirestile_clients::http::PeerAddress;
use sapphirestile_entry::RowKeys;
use sapphirestile_platform_standins::SiteBodies;
use sapphirestile_platform_standins::StoreStandin;
use sapphirestile_platform_standins::open_port;
use sapphirestile_serving::HttpService;
use sapphirestile_test_support::FaultProxy;
use sapphirestile_test_support::ProxyMode;
use test_case::test_case;

use crate::soak_daemon::SoakDaemon;

const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");
const ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 68, 0, 1);
const CALLERS: u64 = 4;
const STATUS_OK: u16 = 200;
const STATUS_NO_ANSWER: u16 = 504;

/// The row of a cell in which no job waits: a list of length 0.
const NO_COUNTS: &str = "\0";

/// The rows of counts in the store, which lists two a page.
const COUNT_ROWS: u32 = 400;

/// The delay of each page on the way to the store and back.
const PAGE_DELAY: Duration = Duration::from_millis(60);

/// How long before the stop a count is asked for.
const OVERTAKEN_FOR: Duration = Duration::from_millis(300);

/// How long the callers wait for an answer, in milliseconds: longer than the grace period.
const CALLER_WAIT_MS: &str = "30000";

/// A store that fell silent cannot answer the requests that a daemon reads during its stop.
/// Each caller must get an answer before the process ends, although it would wait longer.
#[test]
fn requests_read_during_a_stop_are_answered_before_the_process_ends() {
    let folder = PathBuf::from(format!("{FOLDER}/planned-stop"));
    std::fs::create_dir_all(&folder).expect("the folder for settings and logs can be created");
    let store = Arc::new(StoreStandin::default());
    store.put(SiteBodies::CONFIG_KEY, &SiteBodies::config_version(1, 0));
    let service: Arc<dyn HttpService> = store.clone();
    let store_port = open_port(&service);
    let link = FaultProxy::start(store_port.address());
    let daemon = SoakDaemon::start(&folder, "entry-0", ADDRESS, link.address());
    let clients: Vec<HttpClient> = (0..CALLERS).map(|_| client_of(daemon.callers())).collect();
    for (client, job) in clients.iter().zip(0..) {
        while submit(client, job) != Some(STATUS_OK) {
            thread::sleep(Duration::from_millis(50));
        }
    }
    link.set_mode(ProxyMode::Stalled);
    daemon.signal(Signal::SIGTERM);
    let calls: Vec<JoinHandle<Option<u16>>> = clients
        .into_iter()
        .zip(CALLERS..)
        .map(|(client, job)| thread::spawn(move || submit(&client, job)))
        .collect();
    let answers: Vec<Option<u16>> = calls
        .into_iter()
        .map(|call| call.join().expect("the caller does not panic"))
        .collect();
    assert_eq!(answers, vec![Some(STATUS_NO_ANSWER); 4]);
}

/// A listing that goes on, page by page, is no sign that it ends before the process does.
#[test_case(70, Duration::ZERO; "asked with the stop")]
#[test_case(71, OVERTAKEN_FOR; "asked before the stop")]
fn a_count_from_a_slow_store_is_answered_before_the_process_ends(subnet: u8, lead: Duration) {
    let folder = PathBuf::from(format!("{FOLDER}/planned-stop-count-{subnet}"));
    std::fs::create_dir_all(&folder).expect("the folder for settings and logs can be created");
    let store = Arc::new(StoreStandin::default());
    store.put(SiteBodies::CONFIG_KEY, &SiteBodies::config_version(1, 0));
    for cell in 0..COUNT_ROWS {
        store.put(&format!("{}{cell:04}", RowKeys::counts_prefix()), NO_COUNTS);
    }
    let service: Arc<dyn HttpService> = store.clone();
    let store_port = open_port(&service);
    let link = FaultProxy::start(store_port.address());
    let address = Ipv4Addr::new(127, subnet, 0, 1);
    let daemon = SoakDaemon::start(&folder, "entry-0", address, link.address());
    let client = client_of(daemon.callers());
    while call(&client, "GET", "/charts/", "") != Some(STATUS_OK) {
        thread::sleep(Duration::from_millis(50));
    }
    link.set_mode(ProxyMode::Delayed(PAGE_DELAY));
    let count = thread::spawn(move || call(&client, "GET", "/charts/", ""));
    thread::sleep(lead);
    daemon.signal(Signal::SIGTERM);
    let answer = count.join().expect("the caller does not panic");
    assert_eq!(answer, Some(STATUS_NO_ANSWER));
}

fn client_of(daemon: SocketAddr) -> HttpClient {
    let peer = PeerAddress::try_from(daemon).expect("the port of a running daemon is not 0");
    let limits = CallLimits {
        timeout: Duration::from_secs(30),
        response_max_bytes: 65_536,
    };
    HttpClient::new(peer, limits)
}

fn submit(client: &HttpClient, job: u64) -> Option<u16> {
    let path = format!("/charts/{job:016x}");
    call(client, "POST", &path, &SiteBodies::two_steps("100"))
}

/// Returns the HTTP status, or `None` if the connection ended without a complete answer.
fn call(client: &HttpClient, method: &str, path: &str, body: &str) -> Option<u16> {
    let headers = [
        ("host", "desk.example"),
        ("sapphirestile-deadline-ms", CALLER_WAIT_MS),
    ];
    let headers = headers.map(|(name, value)| HeaderView {
        name,
        value: value.as_bytes(),
    });
    let request = CallRequest {
        method,
        path,
        headers: &headers,
        body: body.as_bytes(),
    };
    let answer = client.call("call daemon", &request).ok()?;
    Some(answer.status)
}
