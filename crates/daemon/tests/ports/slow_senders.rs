use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::Value;

use crate::support::PortScene;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_test_support::TOKEN;
use sapphirestile_test_support::call_json;

const LIMITS: &str = "heartbeat_ms = 100\nsuspect_ms = 1000\nbody_max_ms = 1000\n";
const CALLERS: usize = 12;
/// As many as the operators' port has connections.
const OPERATORS: usize = 64;
const PAUSE: Duration = Duration::from_millis(20);
/// They end by themselves, long after the limit.
const BYTES_MAX: usize = 1_000;

/// Callers that send a byte now and then are answered that nothing was run.
#[test]
fn a_body_that_trickles_is_cut_off_and_not_run() {
    let scene = PortScene::set_limited("trickle_callers", FleetPlan::default(), LIMITS);
    let head = "POST /sizing/fit HTTP/1.1\r\nhost: entry\r\ncontent-length: 100000\r\n\r\n";
    let slow: Vec<_> = (0..CALLERS)
        .map(|_| trickle(scene.daemon.callers(), head.to_owned()))
        .collect();
    scene.assert_serves("beside-trickles");
    let runs = scene.runs();
    for thread in slow {
        let text = thread.join().expect("a sender ends");
        assert!(text.starts_with("HTTP/1.1 408 "), "{text}");
        assert!(text.contains("x-outcome: not-run\r\n"), "{text}");
    }
    assert_eq!(scene.runs(), runs, "a body that was cut off is not run");
}

/// Senders that take every connection of the operators' port give them back, and
/// an operator is answered.
#[test]
fn trickling_bodies_do_not_keep_operators_out() {
    let scene = PortScene::set_limited("trickle_operators", FleetPlan::default(), LIMITS);
    let head = format!(
        "PUT /v1/document HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {TOKEN}\r\n\
         content-length: 100000\r\n\r\n"
    );
    let slow: Vec<_> = (0..OPERATORS)
        .map(|_| trickle(scene.daemon.operators(), head.clone()))
        .collect();
    let status = call_json(scene.daemon.operators(), "GET", "/v1/status", &Value::Null);
    assert_eq!(status.expect("an operator is answered").0, 200);
    for thread in slow {
        let text = thread.join().expect("a sender ends");
        assert!(text.starts_with("HTTP/1.1 408 "), "{text}");
        assert!(text.contains("\"not_run\":true"), "{text}");
    }
    scene.assert_serves("after-trickles");
}

/// Sends a head and then a byte now and then until the connection ends, and
/// returns what was answered.
fn trickle(address: SocketAddr, head: String) -> JoinHandle<String> {
    let mut stream = TcpStream::connect(address).expect("the port is open");
    thread::spawn(move || {
        stream
            .write_all(head.as_bytes())
            .expect("a head can be sent");
        stream
            .set_read_timeout(Some(PAUSE))
            .expect("a time-out can be set");
        let mut answer = Vec::new();
        for _ in 0..BYTES_MAX {
            // The pause is the wait for the answer.
            if stream.read_to_end(&mut answer).is_ok() || stream.write_all(b"x").is_err() {
                break;
            }
        }
        String::from_utf8_lossy(&answer).into_owned()
    })
}
