//! Panics of the code of the daemon, in a child process that runs this test again: they must
//! end it, since state that other threads use may be half changed.

use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt;
use std::process::Command;
use std::process::ExitStatus;
use std::sync::Arc;
use std::thread;

use nix::sys::signal::Signal;
use oxhttp::model::Body;
use oxhttp::model::Request;
use sapphirestile_daemon::panics::PanicHook;
use sapphirestile_serving::CodeScope;
use sapphirestile_serving::HttpPort;
use sapphirestile_serving::HttpReply;
use sapphirestile_serving::HttpService;
use sapphirestile_serving::PortLimits;
use sapphirestile_serving::RequestGate;
use sapphirestile_test_support::call;
use test_case::test_case;

/// The variable with the part that panics in the child process.
const PART_VARIABLE: &str = "PANICKING_PART";

const LIMITS: PortLimits = PortLimits {
    connections: 1,
    body_max_ms: 1_000,
};

/// Panics instead of answering.
struct PanickingService;

impl HttpService for PanickingService {
    fn answer(&self, _request: &mut Request<Body>) -> HttpReply {
        panic!("the handler panics");
    }

    fn refuse(&self) -> HttpReply {
        HttpReply::new(503, "text/plain", Vec::new())
    }
}

#[test_case("handler"; "panic of a handler")]
#[test_case("thread"; "panic of a thread without a connection")]
fn process_is_aborted(part: &str) {
    let status = run_child(part);
    assert_eq!(status.signal(), Some(Signal::SIGABRT as i32), "{status}");
}

/// The control of the tests above: the child itself ends well.
#[test]
fn process_survives_a_panic_of_the_library() {
    let status = run_child("library");
    assert!(status.success(), "{status}");
}

fn run_child(part: &str) -> ExitStatus {
    let program = std::env::current_exe().expect("the path of this program is known");
    Command::new(program)
        .args(["--exact", "child", "--nocapture"])
        .env(PART_VARIABLE, part)
        .status()
        .expect("this program can be started again")
}

/// What the child process runs. It does nothing in the process of the other tests.
#[test]
fn child() {
    let Ok(part) = std::env::var(PART_VARIABLE) else {
        return;
    };
    PanicHook::install();
    let panicking = match part.as_str() {
        "handler" => thread::spawn(call_panicking_service),
        "thread" => thread::spawn(|| panic!("a thread panics")),
        _ => thread::spawn(|| CodeScope::Library.run(|| panic!("the library panics"))),
    };
    // Every panic of this thread would abort the process too.
    let exit_code = i32::from(panicking.join().is_ok());
    std::process::exit(exit_code);
}

fn call_panicking_service() {
    let service: Arc<dyn HttpService> = Arc::new(PanickingService);
    let gate = Arc::new(RequestGate::default());
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let port = HttpPort::open(address, LIMITS, &service, &gate).expect("there is a free port");
    // No answer comes: the process ends.
    let _answer = call(port.address(), "GET", "/", &[], b"");
}
