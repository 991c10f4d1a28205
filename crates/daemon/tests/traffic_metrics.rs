//! The metrics of bytes of requests and answers.

use std::net::SocketAddr;

use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_test_support::TOKEN;
use sapphirestile_test_support::TestFleet;
use sapphirestile_test_support::call;
use sapphirestile_test_support::wait_until;

const DAEMON: &str = env!("CARGO_BIN_EXE_sapphirestiled");
const FOLDER: &str = concat!(env!("CARGO_TARGET_TMPDIR"), "/traffic_metrics");
const BODY: [u8; 1_000] = [b'x'; 1_000];
/// The runner echoes the body, and 400 bytes are added for each head.
const COUNTED_BYTES: u64 = 1_400;

/// The metric of bytes in one direction, summed over all values of reach.
fn metric_bytes(operators: SocketAddr, direction: &str) -> u64 {
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
    let fleet = TestFleet::start(DAEMON, FOLDER, FleetPlan::default());
    let daemon = fleet.start_daemon("entry-1", "near-a", &[]);
    fleet.put_document(daemon.operators());
    wait_until("a request is answered", || {
        call(daemon.callers(), "POST", "/sizing/fit", &[], &BODY)
            .filter(|answer| answer.status == 200)
    });
    let (sent, received) = (
        metric_bytes(daemon.operators(), "sent"),
        metric_bytes(daemon.operators(), "received"),
    );
    assert_eq!((sent, received), (COUNTED_BYTES, COUNTED_BYTES));
}
