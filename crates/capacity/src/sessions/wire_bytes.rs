//! Bytes of a session on the wire.

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
use crate::sessions::change_report;
use crate::sessions::first_request;
use crate::sessions::later_request;
use crate::sessions::report_body;
use crate::sessions::request_body;
use crate::sessions::session_size::SessionSize;
use crate::sessions::whole_report;

const TIMEOUT: Duration = Duration::from_secs(5);
const MESSAGE_BYTES_MAX: usize = 64 * 1_024;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The bytes that a session with a worker puts on the wire, heads of HTTP
/// included, headers of TCP and below not: with all tasks, and with changes.
///
/// # Panics
///
/// When the stand-in of a worker cannot be reached.
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
    let answer = |message: &SessionReport| heads.answer + report_body(message).len();
    for tasks in [1, 8, 22, 32] {
        table.add(&[
            &tasks,
            &request(&first_request(0)),
            &answer(&whole_report(tasks)),
            &request(&later_request()),
            &answer(&change_report(tasks, 0)),
            &answer(&change_report(tasks, 1)),
        ]);
    }
    table
}

/// The bytes of the heads of a session's request and answer.
pub fn head_bytes() -> SessionSize {
    let request = captured_request();
    SessionSize {
        request: head_length(&request),
        answer: head_length(&answer_to(&request)),
    }
}

/// What the daemon's client of workers sends.
fn captured_request() -> Vec<u8> {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = TcpListener::bind(any).expect("a port is free");
    let address = listener.local_addr().expect("the port has an address");
    let peer = PeerAddress::try_from(address).expect("the address is usable");
    let caller = thread::spawn(move || {
        // Nobody answers: the call only has to be sent.
        let _lost = WorkerClient::new(peer, TIMEOUT).session(&first_request(0));
    });
    let (mut stream, _) = listener.accept().expect("the client connects");
    let bytes = read_message(&mut stream, request_body(&first_request(0)).len());
    drop(stream);
    caller.join().expect("the client ends");
    bytes
}

/// What a stand-in of a worker answers, up to the end of its head.
fn answer_to(request: &[u8]) -> Vec<u8> {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let worker = WorkerStandin::start(any, WorkerSettings::default()).expect("a port is free");
    let mut stream = TcpStream::connect(worker.address()).expect("the worker listens");
    stream.write_all(request).expect("the worker reads");
    read_message(&mut stream, 0)
}

/// Reads a head and at least `body` bytes after it.
fn read_message(stream: &mut TcpStream, body: usize) -> Vec<u8> {
    let timed = stream.set_read_timeout(Some(TIMEOUT));
    timed.expect("a time-out can be set");
    let mut bytes = Vec::new();
    let mut buffer = vec![0; MESSAGE_BYTES_MAX];
    loop {
        let length = stream.read(&mut buffer).expect("the peer sends");
        bytes.extend_from_slice(&buffer[..length]);
        let head = bytes
            .windows(HEAD_END.len())
            .position(|part| part == HEAD_END);
        let whole = head.is_some_and(|head| bytes.len() >= head + HEAD_END.len() + body);
        if whole || length == 0 {
            return bytes;
        }
    }
}

fn head_length(bytes: &[u8]) -> usize {
    let head = bytes
        .windows(HEAD_END.len())
        .position(|part| part == HEAD_END);
    head.expect("a message has a head") + HEAD_END.len()
}
