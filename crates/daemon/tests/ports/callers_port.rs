use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

use serde_json::Value;

use crate::support::DaemonFixture;
use crate::support::send_and_read;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_test_support::call_json;

/// The default limit of a request's body.
const BODY_MAX_BYTES: usize = 1_048_576;
const SLOW_CALLERS: usize = 20;
/// The number of chunks, of 1 MiB each, before which the daemon must cut an endless body off.
const CHUNKS_MAX: usize = 64;

/// An invalid request must be refused with the outcome not-run, must in fact not run, must
/// appear in the dump, and must not disturb other requests.
#[test]
fn invalid_requests_are_refused_and_not_run() {
    let plan = FleetPlan {
        idempotent: false,
        ..FleetPlan::default()
    };
    let fixture = DaemonFixture::start("callers", plan);
    let long_key = format!("idempotency-key: {}", "k".repeat(129));
    let rows: [(&str, &[u8], usize, &str); 12] = [
        ("/nothing/fit", b"", 3, "404"),
        ("/", b"", 3, "404"),
        ("/sizing/fit", b"", BODY_MAX_BYTES + 1, "413"),
        ("/sizing/fit", b"", 4 * BODY_MAX_BYTES, "413"),
        ("/sizing/fit", b"idempotency-key: two words", 3, "400"),
        ("/sizing/fit", long_key.as_bytes(), 3, "400"),
        ("/sizing/fit", b"idempotency-key: order-\xe9", 3, "400"),
        (
            "/sizing/fit",
            b"idempotency-key: a\r\nidempotency-key: b",
            3,
            "400",
        ),
        ("/sizing/fit", b"x-deadline-ms: soon", 3, "400"),
        ("/sizing/fit", b"x-deadline-ms: -1", 3, "400"),
        ("/sizing/fit", b"x-deadline-ms: \xff", 3, "400"),
        ("/sizing/fit", b"x-deadline-ms: 0", 3, "503"),
    ];
    for (path, header, length, status) in rows {
        let response = response_text(&fixture, path, header, length);
        let header = String::from_utf8_lossy(header);
        assert!(
            response.starts_with(&format!("HTTP/1.1 {status} ")),
            "{path} {header} {length}: expected status {status}, got {response}"
        );
        assert!(
            response.contains("x-outcome: not-run\r\n"),
            "{header}: {response}"
        );
    }
    assert_eq!(
        fixture.total_runs(),
        0,
        "requests that were refused as not run have run"
    );
    let refusals = dumped_refusals(&fixture);
    assert_eq!(refusals.len(), rows.len());
    assert_eq!(
        [refusals[0].as_str(), refusals[2].as_str()],
        [
            "/nothing/fit 404 not-run: no such service",
            "/sizing/fit 413 not-run: the request is larger than allowed",
        ]
    );

    // A priority or an unknown header that is not UTF-8 is ignored.
    let response = response_text(
        &fixture,
        "/sizing/fit",
        b"x-priority: \xff\r\nx-note: \xfe",
        3,
    );
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    fixture.assert_serves("after-bad-requests");
}

/// The refused requests that the daemon's dump shows.
fn dumped_refusals(fixture: &DaemonFixture) -> Vec<String> {
    let dump = call_json(fixture.daemon.operators(), "GET", "/v1/dump", &Value::Null);
    let (_, dump) = dump.expect("the daemon responds with a dump");
    let refusals = dump["refusals"].as_array().cloned().unwrap_or_default();
    let to_line = |record: &Value| {
        let refusal = &record["refusal"];
        let string_of = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        format!(
            "{} {} {}: {}",
            string_of(&record["path"]),
            refusal["status"],
            string_of(&refusal["outcome"]),
            string_of(&refusal["reason"])
        )
    };
    refusals.iter().map(to_line).collect()
}

/// Callers that send half a body and then pause must not keep other requests from being
/// served, and a request whose body ends early must not run.
#[test]
fn a_slow_body_delays_only_its_own_request() {
    let fixture = DaemonFixture::start("slow_bodies", FleetPlan::default());
    let mut slow: Vec<TcpStream> = (0..SLOW_CALLERS)
        .map(|_| send_half_request(&fixture))
        .collect();
    fixture.assert_serves("beside-slow-bodies");
    let runs = fixture.total_runs();
    for stream in &mut slow {
        let _ended = stream.shutdown(std::net::Shutdown::Write);
        let mut answer = Vec::new();
        let _read = stream.read_to_end(&mut answer);
        let text = String::from_utf8_lossy(&answer);
        assert!(text.starts_with("HTTP/1.1 400 "), "{text}");
        assert!(text.contains("x-outcome: not-run\r\n"), "{text}");
    }
    assert_eq!(
        fixture.total_runs(),
        runs,
        "a request with half a body has run"
    );
}

/// The daemon must stop reading a body without an end, and keep serving others.
#[test]
fn an_endless_body_is_cut_off() {
    let fixture = DaemonFixture::start("endless_body", FleetPlan::default());
    let mut stream =
        TcpStream::connect(fixture.daemon.callers()).expect("the port accepts connections");
    let head = b"POST /sizing/fit HTTP/1.1\r\nhost: entry\r\ntransfer-encoding: chunked\r\n\r\n";
    stream
        .write_all(head)
        .expect("the head of the request can be sent");
    let chunk = [
        b"100000\r\n".as_slice(),
        &vec![b'x'; BODY_MAX_BYTES],
        b"\r\n",
    ]
    .concat();
    let is_cut_off = (0..CHUNKS_MAX).any(|_| stream.write_all(&chunk).is_err());
    assert!(
        is_cut_off,
        "the daemon has read {CHUNKS_MAX} MiB of an endless body"
    );
    assert_eq!(fixture.total_runs(), 0);
    fixture.assert_serves("after-an-endless-body");
}

/// Sends a request with only a part of its body.
fn send_half_request(fixture: &DaemonFixture) -> TcpStream {
    let mut stream =
        TcpStream::connect(fixture.daemon.callers()).expect("the port accepts connections");
    stream
        .write_all(&request("/sizing/fit", b"x-note: slow", 100)[..120])
        .expect("half of the request can be sent");
    stream
}

fn response_text(fixture: &DaemonFixture, path: &str, header: &[u8], length: usize) -> String {
    let answer = send_and_read(fixture.daemon.callers(), &request(path, header, length));
    String::from_utf8_lossy(&answer).into_owned()
}

fn request(path: &str, header: &[u8], length: usize) -> Vec<u8> {
    let head = format!("POST {path} HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n");
    let mut bytes = head.into_bytes();
    if !header.is_empty() {
        bytes.extend_from_slice(header);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(format!("content-length: {length}\r\n\r\n").as_bytes());
    bytes.extend(std::iter::repeat_n(b'x', length));
    bytes
}
