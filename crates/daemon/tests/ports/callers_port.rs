use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

use serde_json::Value;

use crate::support::PortScene;
use crate::support::exchange;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_test_support::call_json;

const BODY_MAX_BYTES: usize = 1_048_576;
const SLOW_CALLERS: usize = 20;
const ENDLESS_CHUNKS: usize = 64;

/// What is not understood is refused, says truthfully that nothing was run, and
/// leaves the port to others.
#[test]
fn a_bad_request_is_refused_and_not_run() {
    let plan = FleetPlan {
        idempotent: false,
        ..FleetPlan::default()
    };
    let scene = PortScene::set("callers", plan);
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
        let text = exchange_text(&scene, path, header, length);
        let header = String::from_utf8_lossy(header);
        assert!(
            text.starts_with(&format!("HTTP/1.1 {status} ")),
            "{path} {header} {length}: {text}"
        );
        assert!(text.contains("x-outcome: not-run\r\n"), "{header}: {text}");
    }
    assert_eq!(scene.runs(), 0, "a refusal that says not run is true");
    let shown = noted_refusals(&scene);
    assert_eq!(shown.len(), rows.len());
    assert_eq!(
        [shown[0].as_str(), shown[2].as_str()],
        [
            "/nothing/fit 404 not-run: no such service",
            "/sizing/fit 413 not-run: the request is larger than allowed",
        ]
    );

    // A priority or another header that is no text does not matter.
    let text = exchange_text(
        &scene,
        "/sizing/fit",
        b"x-priority: \xff\r\nx-note: \xfe",
        3,
    );
    assert!(text.starts_with("HTTP/1.1 200 "), "{text}");
    scene.assert_serves("after-bad-requests");
}

/// The requests without an answer, as a dump shows them.
fn noted_refusals(scene: &PortScene) -> Vec<String> {
    let dump = call_json(scene.daemon.operators(), "GET", "/v1/dump", &Value::Null);
    let (_, dump) = dump.expect("the dump is answered");
    let notes = dump["refusals"].as_array().cloned().unwrap_or_default();
    let text = |note: &Value| {
        let refusal = &note["refusal"];
        let word = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        format!(
            "{} {} {}: {}",
            word(&note["path"]),
            refusal["status"],
            word(&refusal["outcome"]),
            word(&refusal["reason"])
        )
    };
    notes.iter().map(text).collect()
}

/// Callers that send half a body keep nobody else from being served, and a body
/// that ends early is not run.
#[test]
fn a_slow_body_holds_up_its_own_request_only() {
    let scene = PortScene::set("slow_bodies", FleetPlan::default());
    let mut slow: Vec<TcpStream> = (0..SLOW_CALLERS).map(|_| half_sent(&scene)).collect();
    scene.assert_serves("beside-slow-bodies");
    let runs = scene.runs();
    for stream in &mut slow {
        let _ended = stream.shutdown(std::net::Shutdown::Write);
        let mut answer = Vec::new();
        let _read = stream.read_to_end(&mut answer);
        let text = String::from_utf8_lossy(&answer);
        assert!(text.starts_with("HTTP/1.1 400 "), "{text}");
        assert!(text.contains("x-outcome: not-run\r\n"), "{text}");
    }
    assert_eq!(scene.runs(), runs, "half a body is not run");
}

/// A body without an end is cut off, and the port goes on.
#[test]
fn an_endless_body_is_cut_off() {
    let scene = PortScene::set("endless_body", FleetPlan::default());
    let mut stream = TcpStream::connect(scene.daemon.callers()).expect("the port is open");
    let head = b"POST /sizing/fit HTTP/1.1\r\nhost: entry\r\ntransfer-encoding: chunked\r\n\r\n";
    stream.write_all(head).expect("a head can be sent");
    let chunk = [
        b"100000\r\n".as_slice(),
        &vec![b'x'; BODY_MAX_BYTES],
        b"\r\n",
    ]
    .concat();
    let cut_off = (0..ENDLESS_CHUNKS).any(|_| stream.write_all(&chunk).is_err());
    assert!(cut_off, "the daemon has read {ENDLESS_CHUNKS} MiB");
    assert_eq!(scene.runs(), 0);
    scene.assert_serves("after-an-endless-body");
}

fn half_sent(scene: &PortScene) -> TcpStream {
    let mut stream = TcpStream::connect(scene.daemon.callers()).expect("the port is open");
    stream
        .write_all(&request("/sizing/fit", b"x-note: slow", 100)[..120])
        .expect("half a request can be sent");
    stream
}

fn exchange_text(scene: &PortScene, path: &str, header: &[u8], length: usize) -> String {
    let answer = exchange(scene.daemon.callers(), &request(path, header, length));
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
