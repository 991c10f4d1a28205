//! The bytes of requests and answers that a daemon shows.

use std::net::SocketAddr;

use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_test_support::TOKEN;
use sapphirestile_test_support::TestFleet;
use sapphirestile_test_support::call;
use sapphirestile_test_support::wait_until;

const DAEMON: &str = env!("CARGO_BIN_EXE_sapphirestiled");
const FOLDER: &str = concat!(env!("CARGO_TARGET_TMPDIR"), "/traffic_metrics");
const BODY: [u8; 1_000] = [b'x'; 1_000];
/// The runner echoes the body; each head counts 400 bytes.
const COUNTED_BYTES: u64 = 1_400;

/// The bytes of one direction, by whatever reach.
fn shown(operators: SocketAddr, direction: &str) -> u64 {
    let authorization = format!("Bearer {TOKEN}");
    let headers = [("authorization", authorization.as_str())];
    let answer = call(operators, "GET", "/metrics", &headers, b"").expect("metrics");
    let text = String::from_utf8(answer.body).expect("text");
    let label = format!("direction=\"{direction}\"");
    let lines = text
        .lines()
        .filter(|line| line.starts_with("sapphirestile_request_bytes_total{"));
    let lines = lines.filter(|line| line.contains("service=\"sizing\"") && line.contains(&label));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
    values.sum()
}

#[test]
fn bytes_are_counted_each_way_for_each_service() {
    let scene = TestFleet::start(DAEMON, FOLDER, FleetPlan::default());
    let daemon = scene.start_daemon("entry-1", "near-a", &[]);
    scene.put_document(daemon.operators());
    wait_until("a request is answered", || {
        call(daemon.callers(), "POST", "/sizing/fit", &[], &BODY)
            .filter(|answer| answer.status == 200)
    });
    let (sent, received) = (
        shown(daemon.operators(), "sent"),
        shown(daemon.operators(), "received"),
    );
    assert_eq!((sent, received), (COUNTED_BYTES, COUNTED_BYTES));
}
