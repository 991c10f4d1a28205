//! Requests on open connections around the end of a planned stop.

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use oxhttp::model::Body;
use oxhttp::model::Request;
use sapphirestile_serving::HttpPort;
use sapphirestile_serving::HttpReply;
use sapphirestile_serving::HttpService;
use sapphirestile_serving::PlannedStop;
use sapphirestile_serving::PortLimits;
use sapphirestile_serving::RequestGate;
use test_case::test_case;

const LIMITS: PortLimits = PortLimits {
    connections: 64,
    body_max_ms: 10_000,
};
const REQUEST: &[u8] = b"GET /chest HTTP/1.1\r\nhost: desk.example\r\n\r\n";
const CALLERS: u32 = 8;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Bounds a test that fails; no check depends on it.
const PATIENCE: Duration = Duration::from_mins(1);

/// Reports each refusal that it begins, and waits for permission to end it.
struct HeldRefusals {
    began: Sender<()>,
    release: Mutex<Receiver<()>>,
}

impl HttpService for HeldRefusals {
    fn answer(&self, _request: &mut Request<Body>) -> HttpReply {
        HttpReply::new(200, "text/plain", b"served".to_vec())
    }

    fn refuse(&self) -> HttpReply {
        self.began.send(()).expect("the test waits for refusals");
        let release = self.release.lock().expect("no refusal panics");
        release.recv().expect("the test releases refusals");
        HttpReply::new(503, "text/plain", b"refused".to_vec())
    }
}

fn open(service: impl HttpService, gate: &Arc<RequestGate>) -> HttpPort {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let service: Arc<dyn HttpService> = Arc::new(service);
    HttpPort::open(any_port, LIMITS, &service, gate).expect("there is a free port")
}

fn open_stream(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the port is open");
    let patience = stream.set_read_timeout(Some(PATIENCE));
    patience.expect("a timeout can be set");
    stream
}

/// Reads one answer. Returns its head.
fn read_answer(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let mut byte = [0];
    while !answer.ends_with(HEAD_END) {
        stream
            .read_exact(&mut byte)
            .expect("the answer is complete");
        answer.push(byte[0]);
    }
    let head = String::from_utf8(answer).expect("a head is text");
    let (_, rest) = head
        .split_once("content-length: ")
        .expect("the body has a length");
    let digits = rest.split("\r\n").next().unwrap_or_default();
    let mut body = vec![0; digits.parse().expect("a length is a number")];
    stream.read_exact(&mut body).expect("the body is complete");
    head.to_lowercase()
}

/// The process ended between reading a request that it refused and writing the refusal.
#[test]
fn a_refusal_that_is_not_written_yet_keeps_the_process_from_ending() {
    let (began, refusals) = channel();
    let (release, released) = channel();
    let service = HeldRefusals {
        began,
        release: Mutex::new(released),
    };
    let gate = Arc::new(RequestGate::default());
    let port = open(service, &gate);
    let mut stream = open_stream(port.address());
    stream.write_all(REQUEST).expect("the connection is open");
    assert!(read_answer(&mut stream).starts_with("http/1.1 200"));
    gate.close();
    stream.write_all(REQUEST).expect("the connection is open");
    refusals
        .recv_timeout(PATIENCE)
        .expect("the request is read");
    assert!(!gate.wait_idle(Duration::ZERO));
    release.send(()).expect("the refusal waits");
    assert!(read_answer(&mut stream).starts_with("http/1.1 503"));
    assert!(gate.wait_idle(PATIENCE));
}

/// A caller whose connection stayed open went on sending until the process was gone.
#[test_case(false, "http/1.1 200"; "while requests are served")]
#[test_case(true, "http/1.1 503"; "once requests are refused")]
fn an_answer_during_a_stop_ends_its_connection(refuses: bool, status: &str) {
    let (began, _refusals) = channel();
    let (release, released) = channel();
    let service = HeldRefusals {
        began,
        release: Mutex::new(released),
    };
    release.send(()).expect("the service lives");
    let gate = Arc::new(RequestGate::default());
    let port = open(service, &gate);
    let mut stream = open_stream(port.address());
    let stop = PlannedStop::begin(Arc::clone(&gate));
    let _refusing = refuses.then(|| stop.refuse());
    stream.write_all(REQUEST).expect("the connection is open");
    assert!(read_answer(&mut stream).starts_with(status));
    let mut rest = Vec::new();
    let read = stream.read_to_end(&mut rest);
    assert_eq!(read.expect("the connection is closed, not reset"), 0);
}

/// Answers at once.
struct QuickAnswers;

impl HttpService for QuickAnswers {
    fn answer(&self, _request: &mut Request<Body>) -> HttpReply {
        HttpReply::new(200, "text/plain", b"served".to_vec())
    }

    fn refuse(&self) -> HttpReply {
        HttpReply::new(503, "text/plain", b"refused".to_vec())
    }
}

/// Requests on connections that callers kept using got no answer when the process ended.
#[test]
fn each_request_that_was_read_through_a_stop_has_its_answer() {
    let gate = Arc::new(RequestGate::default());
    let port = open(QuickAnswers, &gate);
    let address = port.address();
    let (answered, first_answers) = channel();
    let callers: Vec<JoinHandle<u64>> = (0..CALLERS)
        .map(|_| {
            let answered = answered.clone();
            thread::spawn(move || call_until_refused(address, &answered))
        })
        .collect();
    for _ in 0..CALLERS {
        let first = first_answers.recv_timeout(PATIENCE);
        first.expect("each caller is answered before the stop");
    }
    let report = PlannedStop::begin(Arc::clone(&gate))
        .refuse()
        .finish(PATIENCE, PATIENCE);
    let answers = callers.into_iter().map(|caller| {
        let joined = caller.join();
        joined.expect("no caller lost an answer")
    });
    assert_eq!(answers.sum::<u64>(), gate.arrivals());
    assert_eq!(report.unanswered, 0);
}

/// Sends one request after the other until one is refused, over a new connection whenever the
/// port has ended one. Returns the number of answers.
fn call_until_refused(address: SocketAddr, answered: &Sender<()>) -> u64 {
    let mut answers = 0;
    loop {
        let mut stream = open_stream(address);
        // An answer has crossed the next request if there is none on a connection that ended.
        while let Some(answer) = call(&mut stream) {
            answers += 1;
            // The test listens for the first answer of each caller only.
            let _heard = answered.send(());
            if answer.starts_with("http/1.1 503") {
                return answers;
            }
        }
    }
}

/// Sends a request and reads its answer; `None` if the connection ends before it.
fn call(stream: &mut TcpStream) -> Option<String> {
    stream.write_all(REQUEST).ok()?;
    let mut first = [0];
    let length = stream.peek(&mut first).ok()?;
    (length > 0).then(|| read_answer(stream))
}
