//! What the scenes share.

use std::io::Read;
use std::io::Write;
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
use sapphirestile_test_support::TestCluster;
use sapphirestile_test_support::call;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;
use sapphirestile_wire::peer::FrameKey;
use sapphirestile_wire::peer::PeerFrame;

const DAEMON: &str = env!("CARGO_BIN_EXE_sapphirestiled");
const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");
const READ_TIMEOUT: Duration = Duration::from_mins(1);

/// A platform and one daemon that owns its cell.
pub struct PortScene {
    pub fleet: TestCluster,
    pub daemon: DaemonProcess,
}

impl PortScene {
    pub fn set(name: &str, plan: FleetPlan) -> Self {
        Self::set_without_document(name, plan).with_document()
    }

    /// The same, with other limits in the daemon's settings.
    pub fn set_limited(name: &str, plan: FleetPlan, limits: &str) -> Self {
        let mut fleet = TestCluster::start(DAEMON, &format!("{FOLDER}/ports_{name}"), plan);
        fleet.set_limits(limits);
        let daemon = fleet.start_daemon("entry-1", "near-a", &[]);
        Self { fleet, daemon }.with_document()
    }

    fn with_document(self) -> Self {
        let operators = self.daemon.operators();
        self.fleet.put_document(operators);
        self.fleet.wait_until_owned(&[operators], 1);
        self
    }

    /// The same before its first document, so that it owns nothing.
    pub fn set_without_document(name: &str, plan: FleetPlan) -> Self {
        let fleet = TestCluster::start(DAEMON, &format!("{FOLDER}/ports_{name}"), plan);
        let daemon = fleet.start_daemon("entry-1", "near-a", &[]);
        Self { fleet, daemon }
    }

    /// The daemon still serves a request and finishes a job.
    pub fn assert_serves(&self, job: &str) {
        wait_until("a request is answered", || {
            let answer = call(self.daemon.callers(), "POST", "/sizing/fit", &[], b"chest");
            answer.filter(|answer| answer.status == 200 && answer.body == b"chest")
        });
        let body = submission(job, 2);
        let (status, answer) = call_json(self.daemon.operators(), "POST", "/v1/jobs", &body)
            .expect("the submission is answered");
        assert_eq!(status, 200, "{answer}");
        wait_until("the job is finished", || {
            let path = format!("/v1/jobs/{job}");
            let (_, view) = call_json(self.daemon.operators(), "GET", &path, &Value::Null)?;
            (view["state"] == "finished").then_some(())
        });
    }

    /// How many requests the runners have run.
    pub fn runs(&self) -> u64 {
        let runners = self.fleet.platform().runners().iter();
        runners.map(|runner| runner.service().counts().runs).sum()
    }
}

/// A job that any worker has room for.
pub fn submission(job: &str, tasks: u32) -> Value {
    json!({
        "job": job, "customer": "kennels", "tasks": tasks, "run_ms": 100,
        "size": { "cpu_milli": 1000, "memory_mb": 512, "accelerators": 0 },
    })
}

/// Sends bytes over a connection of their own and returns all that comes back.
pub fn exchange(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).expect("the port takes connections");
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("a time-out can be set");
    // The daemon may close before it has read everything.
    let _written = stream.write_all(bytes);
    let mut answer = Vec::new();
    let _read = stream.read_to_end(&mut answer);
    answer
}

/// A frame from `sender`, sealed with the key of all daemons.
pub fn sealed<B: serde::Serialize>(sender: &str, call: u64, body: B) -> Vec<u8> {
    seal_with(TOKEN, sender, call, body)
}

/// A frame sealed with the key of a secret.
pub fn seal_with<B: serde::Serialize>(secret: &str, sender: &str, call: u64, body: B) -> Vec<u8> {
    let frame = PeerFrame {
        sender: DaemonName::try_from(sender).expect("the name is valid"),
        incarnation: IncarnationNumber::new(1),
        call,
        body,
    };
    let key = FrameKey::new(secret.as_bytes());
    key.seal(&frame).expect("the frame is short")
}
