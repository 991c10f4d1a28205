//! Bytes of a worker session on the wire.

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use sapphirestile_clients::http::PeerAddress;
use sapphirestile_clients::worker::WorkerClient;
use sapphirestile_standins::worker::WorkerSettings;
use sapphirestile_standins::worker::WorkerStandin;
use sapphirestile_wire::worker::SessionReport;
use sapphirestile_wire::worker::SessionRequest;

use crate::ResultTable;
use crate::sessions::exchange_bytes::ExchangeBytes;
use crate::sessions::full_report;
use crate::sessions::full_request;
use crate::sessions::incremental_report;
use crate::sessions::incremental_request;
use crate::sessions::request_body;
use crate::sessions::response_body;

const TIMEOUT: Duration = Duration::from_secs(5);
const MESSAGE_BYTES_MAX: usize = 64 * 1_024;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Measures the bytes of a worker session on the wire, with reports of all tasks and of
/// changes. HTTP heads are included; headers of TCP and lower layers are not.
///
/// # Panics
///
/// When the stand-in of a worker cannot be started or reached.
#[must_use]
pub fn session_bytes() -> ResultTable {
    let heads = head_bytes();
    let mut table = ResultTable::new(
        "A session on the wire by the tasks of the worker, HTTP heads included",
        &[
            "tasks",
            "all: request",
            "all: answer",
            "changes: request",
            "changes: answer, none",
            "changes: answer, one",
        ],
    );
    let request = |message: &SessionRequest| heads.request + request_body(message).len();
    let response = |message: &SessionReport| heads.response + response_body(message).len();
    for tasks in [1, 8, 22, 32] {
        table.add(&[
            &tasks,
            &request(&full_request(0)),
            &response(&full_report(tasks)),
            &request(&incremental_request()),
            &response(&incremental_report(tasks, 0)),
            &response(&incremental_report(tasks, 1)),
        ]);
    }
    table
}

/// Returns the bytes of the HTTP heads of a session's request and response: start line and
/// headers, with the blank line that ends them.
///
/// # Panics
///
/// When the stand-in of a worker cannot be started or reached.
pub fn head_bytes() -> ExchangeBytes {
    let request = capture_request();
    ExchangeBytes {
        request: head_len(&request),
        response: head_len(&capture_response(&request)),
    }
}

/// Returns a request as sent by the daemon's worker client.
fn capture_request() -> Vec<u8> {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = TcpListener::bind(any_port).expect("a port is free");
    let address = listener.local_addr().expect("the port has an address");
    let peer = PeerAddress::try_from(address).expect("the address is usable");
    let caller = thread::spawn(move || {
        // The response is not needed; the call fails when the stream is dropped.
        let _lost = WorkerClient::new(peer, TIMEOUT).session(&full_request(0));
    });
    let (mut stream, _) = listener.accept().expect("the client connects");
    let bytes = read_message(&mut stream, request_body(&full_request(0)).len());
    drop(stream);
    caller
        .join()
        .expect("the client thread ends without a panic");
    bytes
}

/// Returns the response of a worker stand-in, at least up to the end of its head.
fn capture_response(request: &[u8]) -> Vec<u8> {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let worker = WorkerStandin::start(any_port, WorkerSettings::default()).expect("a port is free");
    let mut stream = TcpStream::connect(worker.address()).expect("the worker stand-in listens");
    stream
        .write_all(request)
        .expect("the worker stand-in accepts the request");
    read_message(&mut stream, 0)
}

/// Reads a head and at least `body_bytes` bytes after it, or less when the peer closes the
/// connection.
fn read_message(stream: &mut TcpStream, body_bytes: usize) -> Vec<u8> {
    let timed = stream.set_read_timeout(Some(TIMEOUT));
    timed.expect("a time-out can be set");
    let mut bytes = Vec::new();
    let mut buffer = vec![0; MESSAGE_BYTES_MAX];
    loop {
        let length = stream
            .read(&mut buffer)
            .expect("the peer sends before the time-out");
        bytes.extend_from_slice(&buffer[..length]);
        let head = bytes
            .windows(HEAD_END.len())
            .position(|window| window == HEAD_END);
        let is_complete =
            head.is_some_and(|head| bytes.len() >= head + HEAD_END.len() + body_bytes);
        if is_complete || length == 0 {
            return bytes;
        }
    }
}

fn head_len(bytes: &[u8]) -> usize {
    let head = bytes
        .windows(HEAD_END.len())
        .position(|window| window == HEAD_END);
    head.expect("an HTTP message has a complete head") + HEAD_END.len()
}
