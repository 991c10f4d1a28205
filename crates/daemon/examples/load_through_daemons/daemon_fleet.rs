//! Daemons on a platform of stand-ins.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::Value;

use crate::process_time::process_time_ms;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_standins::runner::RunnerSettings;
use sapphirestile_standins::runner::RunnerStandin;
use sapphirestile_test_support::DaemonProcess;
use sapphirestile_test_support::TOKEN;
use sapphirestile_test_support::TestFleet;
use sapphirestile_test_support::call;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;

const PLACES: [(&str, &str); 3] = [
    ("entry-1", "near-a"),
    ("entry-2", "near-b"),
    ("entry-3", "far-c"),
];
const RUNNERS_PER_ZONE: usize = 4;
const SERVICE_MS: u64 = 5;
const SLOTS: u32 = 8;
const DISTURBED_US: u64 = 1_000;
const TOKENS: u64 = 96;
const BYTES_METRIC: &str = "sapphirestile_request_bytes_total{";
const REMOTE_LABEL: &str = "reach=\"remote\"";

/// Daemons as processes on 12 runners of 8 slots.
pub struct DaemonFleet {
    /// The platform.
    pub scene: TestFleet,
    /// The daemons that run.
    pub daemons: Vec<DaemonProcess>,
}

impl DaemonFleet {
    /// Starts one to three daemons and waits until they hold every token.
    pub fn start(daemons: usize) -> Self {
        let plan = FleetPlan {
            runners: RUNNERS_PER_ZONE,
            runner: RunnerSettings {
                slots: SLOTS,
                service_ms: SERVICE_MS,
                ..RunnerSettings::default()
            },
            ..FleetPlan::default()
        };
        Self::start_plan(plan, daemons)
    }

    /// Starts three daemons on machines that have a runner and a worker each.
    pub fn start_colocated() -> Self {
        let plan = FleetPlan {
            runners: RUNNERS_PER_ZONE,
            workers: RUNNERS_PER_ZONE,
            colocated: true,
            runner: RunnerSettings {
                slots: SLOTS,
                interference_us_per_core: DISTURBED_US,
                ..RunnerSettings::default()
            },
            ..FleetPlan::default()
        };
        Self::start_plan(plan, PLACES.len())
    }

    fn start_plan(plan: FleetPlan, daemons: usize) -> Self {
        let folder = target_folder().join("load_through_daemons");
        let binary = target_folder().join("sapphirestiled");
        assert!(binary.exists(), "the daemon is built first");
        let scene = TestFleet::start(
            &binary.display().to_string(),
            &folder.display().to_string(),
            plan,
        );
        let mut fleet = Self {
            scene,
            daemons: Vec::new(),
        };
        for (name, zone) in &PLACES[..daemons] {
            let seeds: Vec<SocketAddr> = fleet.daemons.iter().map(DaemonProcess::peers).collect();
            fleet
                .daemons
                .push(fleet.scene.start_daemon(name, zone, &seeds));
        }
        fleet.scene.put_document(fleet.daemons[0].operators());
        wait_until("the daemons hold every token", || fleet.shared_tokens());
        fleet
    }

    /// The ports of callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(DaemonProcess::callers).collect()
    }

    /// The ports of the runners.
    pub fn runners(&self) -> Vec<SocketAddr> {
        let runners = self.scene.platform().runners().iter();
        runners.map(RunnerStandin::address).collect()
    }

    /// What all daemons have spent of the processors, in milliseconds.
    pub fn processor_ms(&self) -> u64 {
        let daemons = self.daemons.iter();
        daemons.map(|daemon| process_time_ms(daemon.pid())).sum()
    }

    /// What all daemons have counted under a name of the metrics.
    pub fn counted(&self, name: &str) -> u64 {
        let row = format!("sapphirestile_{name}_total ");
        let count = |daemon: &DaemonProcess| {
            let answer = call(daemon.operators(), "GET", "/metrics", &[], b"")?;
            let text = String::from_utf8(answer.body).ok()?;
            let mut lines = text.lines();
            lines.find_map(|line| line.strip_prefix(&row)?.parse::<u64>().ok())
        };
        self.daemons.iter().filter_map(count).sum()
    }

    /// The bytes of requests and answers that crossed the link between regions.
    pub fn link_bytes(&self) -> u64 {
        let daemons = self.daemons.iter();
        daemons.map(|daemon| remote_bytes(daemon.operators())).sum()
    }

    /// Something when all tokens are held, a share by each daemon.
    fn shared_tokens(&self) -> Option<()> {
        let mut sum = 0;
        for daemon in &self.daemons {
            let (_, status) = call_json(daemon.operators(), "GET", "/v1/status", &Value::Null)?;
            let tokens = status["services"][0]["tokens"].as_u64()?;
            if tokens == 0 {
                return None;
            }
            sum += tokens;
        }
        (sum == TOKENS).then_some(())
    }
}

/// What the metrics of a daemon count as bytes to and from the other region.
fn remote_bytes(operators: SocketAddr) -> u64 {
    let authorization = format!("Bearer {TOKEN}");
    let headers = [("authorization", authorization.as_str())];
    let answer = call(operators, "GET", "/metrics", &headers, b"");
    let answer = answer.expect("the metrics are answered");
    assert_eq!(answer.status, 200, "the metrics are shown");
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let counters = text
        .lines()
        .filter(|line| line.starts_with(BYTES_METRIC) && line.contains(REMOTE_LABEL));
    let values = counters.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
    values.sum()
}

/// The folder of the profile that this example was built with.
fn target_folder() -> PathBuf {
    let example = std::env::current_exe().expect("a process knows its program");
    let folder = example.ancestors().nth(2);
    folder.expect("an example has a folder").to_owned()
}
