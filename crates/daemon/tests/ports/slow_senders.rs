use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::Value;

use crate::support::DaemonFixture;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_test_support::TOKEN;
use sapphirestile_test_support::call_json;

const LIMITS: &str = "heartbeat_ms = 100\nsuspect_ms = 1000\nbody_max_ms = 1000\n";
const SLOW_CALLERS: usize = 12;
/// The number of senders, equal to the connection limit of the operators' port.
const SLOW_OPERATORS: usize = 64;
/// The time between two bytes of a slow sender.
const BYTE_INTERVAL: Duration = Duration::from_millis(20);
/// The number of bytes after which a slow sender gives up, long after the daemon's limit.
const BYTES_MAX: usize = 1_000;

/// Callers that send their body one byte at a time, slower than the limit allows, must be
/// refused with the outcome not-run, and their requests must not run.
#[test]
fn requests_with_too_slow_bodies_are_refused_and_not_run() {
    let fixture = DaemonFixture::start_with_limits("trickle_callers", FleetPlan::default(), LIMITS);
    let head = "POST /sizing/fit HTTP/1.1\r\nhost: entry\r\ncontent-length: 100000\r\n\r\n";
    let slow: Vec<_> = (0..SLOW_CALLERS)
        .map(|_| send_slowly(fixture.daemon.callers(), head.to_owned()))
        .collect();
    fixture.assert_serves("beside-trickles");
    let runs = fixture.total_runs();
    for thread in slow {
        let text = thread
            .join()
            .expect("the thread of a slow sender does not panic");
        assert!(text.starts_with("HTTP/1.1 408 "), "{text}");
        assert!(text.contains("x-outcome: not-run\r\n"), "{text}");
    }
    assert_eq!(
        fixture.total_runs(),
        runs,
        "a request with a refused body has run"
    );
}

/// Slow senders occupy every connection of the operators' port. The daemon must close these
/// connections in time and answer an operator.
#[test]
fn slow_bodies_do_not_lock_operators_out() {
    let fixture =
        DaemonFixture::start_with_limits("trickle_operators", FleetPlan::default(), LIMITS);
    let head = format!(
        "PUT /v1/document HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {TOKEN}\r\n\
         content-length: 100000\r\n\r\n"
    );
    let slow: Vec<_> = (0..SLOW_OPERATORS)
        .map(|_| send_slowly(fixture.daemon.operators(), head.clone()))
        .collect();
    let status = call_json(
        fixture.daemon.operators(),
        "GET",
        "/v1/status",
        &Value::Null,
    );
    assert_eq!(status.expect("the daemon responds to an operator").0, 200);
    for thread in slow {
        let text = thread
            .join()
            .expect("the thread of a slow sender does not panic");
        assert!(text.starts_with("HTTP/1.1 408 "), "{text}");
        assert!(text.contains("\"not_run\":true"), "{text}");
    }
    fixture.assert_serves("after-trickles");
}

/// Sends a head and then a body, one byte at a time, until the daemon closes the connection.
/// Returns the response.
fn send_slowly(address: SocketAddr, head: String) -> JoinHandle<String> {
    let mut stream = TcpStream::connect(address).expect("the port accepts connections");
    thread::spawn(move || {
        stream
            .write_all(head.as_bytes())
            .expect("the head of the request can be sent");
        stream
            .set_read_timeout(Some(BYTE_INTERVAL))
            .expect("the read time-out can be set");
        let mut answer = Vec::new();
        for _ in 0..BYTES_MAX {
            // The read time-out is the time between two bytes.
            if stream.read_to_end(&mut answer).is_ok() || stream.write_all(b"x").is_err() {
                break;
            }
        }
        String::from_utf8_lossy(&answer).into_owned()
    })
}
