//! A daemon under test, and calls that the tests share.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use sapphirestile_core::DaemonName;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_test_support::DaemonProcess;
use sapphirestile_test_support::TOKEN;
use sapphirestile_test_support::TestFleet;
use sapphirestile_test_support::call;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;
use sapphirestile_wire::peer::FrameKey;
use sapphirestile_wire::peer::PeerFrame;

const DAEMON: &str = env!("CARGO_BIN_EXE_sapphirestiled");
const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");
const READ_TIMEOUT: Duration = Duration::from_mins(1);

/// Platform stand-ins and one daemon that owns the only cell.
pub struct DaemonFixture {
    pub fleet: TestFleet,
    pub daemon: DaemonProcess,
}

impl DaemonFixture {
    /// Starts the daemon, puts the plan's document in force and waits until the daemon owns the
    /// cell. `name` names the folder of settings and logs.
    pub fn start(name: &str, plan: FleetPlan) -> Self {
        Self::start_without_document(name, plan).put_document()
    }

    /// Like [`start`](Self::start), with other limits in the daemon's settings.
    pub fn start_with_limits(name: &str, plan: FleetPlan, limits: &str) -> Self {
        let mut fleet = TestFleet::start(DAEMON, &format!("{FOLDER}/ports_{name}"), plan);
        fleet.set_limits(limits);
        let daemon = fleet.start_daemon("entry-1", "near-a", &[]);
        Self { fleet, daemon }.put_document()
    }

    fn put_document(self) -> Self {
        let operators = self.daemon.operators();
        self.fleet.put_document(operators);
        self.fleet.wait_until_owned(&[operators], 1);
        self
    }

    /// Starts the daemon without a document, so that it owns no cell.
    pub fn start_without_document(name: &str, plan: FleetPlan) -> Self {
        let fleet = TestFleet::start(DAEMON, &format!("{FOLDER}/ports_{name}"), plan);
        let daemon = fleet.start_daemon("entry-1", "near-a", &[]);
        Self { fleet, daemon }
    }

    /// Checks that the daemon still answers a request and finishes a job with this name.
    pub fn assert_serves(&self, job: &str) {
        wait_until("the request gets its own body as response", || {
            let answer = call(self.daemon.callers(), "POST", "/sizing/fit", &[], b"chest");
            answer.filter(|answer| answer.status == 200 && answer.body == b"chest")
        });
        let body = job_body(job, 2);
        let (status, answer) = call_json(self.daemon.operators(), "POST", "/v1/jobs", &body)
            .expect("the daemon responds to the submission");
        assert_eq!(status, 200, "{answer}");
        wait_until("the job is finished", || {
            let path = format!("/v1/jobs/{job}");
            let (_, view) = call_json(self.daemon.operators(), "GET", &path, &Value::Null)?;
            (view["state"] == "finished").then_some(())
        });
    }

    /// The number of requests that the runners have run.
    pub fn total_runs(&self) -> u64 {
        let runners = self.fleet.platform().runners().iter();
        runners.map(|runner| runner.service().counts().runs).sum()
    }
}

/// The body of the submission of a job that fits on any worker.
pub fn job_body(job: &str, tasks: u32) -> Value {
    json!({
        "job": job, "customer": "kennels", "tasks": tasks, "run_ms": 100,
        "size": { "cpu_milli": 1000, "memory_mb": 512, "accelerators": 0 },
    })
}

/// Sends bytes over a new connection and returns everything that the daemon sends until it
/// closes the connection.
pub fn send_and_read(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).expect("the port accepts connections");
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("the read time-out can be set");
    // The daemon may close the connection before it has read everything.
    let _written = stream.write_all(bytes);
    let mut response = Vec::new();
    let _read = stream.read_to_end(&mut response);
    response
}

/// Sends bytes over a new connection, ends the sending side, and returns everything that the
/// daemon sends, as text.
pub fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("the port accepts connections");
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("the read time-out can be set");
    // The daemon may close the connection before it has read everything.
    let _written = stream.write_all(bytes);
    let _ended = stream.shutdown(Shutdown::Write);
    let mut response = Vec::new();
    let _read = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

/// A frame from `sender`, sealed with the key that all daemons share.
pub fn seal_frame<B: serde::Serialize>(sender: &str, call: u64, body: B) -> Vec<u8> {
    seal_frame_with(TOKEN, sender, call, body)
}

/// A frame from `sender`, sealed with a key derived from `secret`.
pub fn seal_frame_with<B: serde::Serialize>(
    secret: &str,
    sender: &str,
    call: u64,
    body: B,
) -> Vec<u8> {
    let frame = PeerFrame {
        sender: DaemonName::try_from(sender).expect("the name is valid"),
        incarnation: IncarnationNumber::new(1),
        call,
        body,
    };
    let key = FrameKey::new(secret.as_bytes());
    key.seal(&frame).expect("the frame is short")
}
