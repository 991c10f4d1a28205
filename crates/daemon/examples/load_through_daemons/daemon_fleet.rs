//! Daemons on a simulated platform.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::Value;

use crate::process_cpu_time::process_cpu_time_ms;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_standins::runner::RunnerSettings;
use sapphirestile_standins::runner::RunnerStandin;
use sapphirestile_test_support::DaemonProcess;
use sapphirestile_test_support::TOKEN;
use sapphirestile_test_support::TestFleet;
use sapphirestile_test_support::call;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;

const DAEMONS: [(&str, &str); 3] = [
    ("entry-1", "near-a"),
    ("entry-2", "near-b"),
    ("entry-3", "far-c"),
];
const RUNNERS_PER_ZONE: usize = 4;
const SERVICE_MS: u64 = 5;
const SLOTS: u32 = 8;
const INTERFERENCE_US_PER_CORE: u64 = 1_000;
const TOKENS: u64 = 96;
const BYTES_METRIC: &str = "sapphirestile_request_bytes_total{";
const REMOTE_LABEL: &str = "reach=\"remote\"";

/// Daemon processes on a simulated platform with 12 runners of 8 slots.
pub struct DaemonFleet {
    /// The platform and the settings of the daemons.
    pub test_fleet: TestFleet,
    /// The running daemons, in the order of `DAEMONS`.
    pub daemons: Vec<DaemonProcess>,
}

impl DaemonFleet {
    /// Starts the first `daemons` of `DAEMONS` and waits until they hold all tokens.
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

    /// Starts three daemons on machines with a runner and a worker each, where batch tasks slow
    /// requests down.
    pub fn start_colocated() -> Self {
        let plan = FleetPlan {
            runners: RUNNERS_PER_ZONE,
            workers: RUNNERS_PER_ZONE,
            colocated: true,
            runner: RunnerSettings {
                slots: SLOTS,
                interference_us_per_core: INTERFERENCE_US_PER_CORE,
                ..RunnerSettings::default()
            },
            ..FleetPlan::default()
        };
        Self::start_plan(plan, DAEMONS.len())
    }

    fn start_plan(plan: FleetPlan, daemons: usize) -> Self {
        let folder = target_folder().join("load_through_daemons");
        let binary = target_folder().join("sapphirestiled");
        assert!(
            binary.exists(),
            "sapphirestiled is built in the profile of this example"
        );
        let test_fleet = TestFleet::start(
            &binary.display().to_string(),
            &folder.display().to_string(),
            plan,
        );
        let mut fleet = Self {
            test_fleet,
            daemons: Vec::new(),
        };
        for (name, zone) in &DAEMONS[..daemons] {
            let seeds: Vec<SocketAddr> = fleet.daemons.iter().map(DaemonProcess::peers).collect();
            fleet
                .daemons
                .push(fleet.test_fleet.start_daemon(name, zone, &seeds));
        }
        fleet.test_fleet.put_document(fleet.daemons[0].operators());
        wait_until("the daemons hold all tokens", || fleet.held_tokens());
        fleet
    }

    /// The addresses at which the daemons accept requests.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(DaemonProcess::callers).collect()
    }

    /// The addresses of the runners.
    pub fn runners(&self) -> Vec<SocketAddr> {
        let runners = self.test_fleet.platform().runners().iter();
        runners.map(RunnerStandin::address).collect()
    }

    /// CPU time that the running daemons have used, in milliseconds.
    pub fn cpu_time_ms(&self) -> u64 {
        let daemons = self.daemons.iter();
        daemons
            .map(|daemon| process_cpu_time_ms(daemon.pid()))
            .sum()
    }

    /// Sum over the daemons of the counter `sapphirestile_{name}_total`. Daemons that do not
    /// answer or do not have the counter are left out.
    pub fn counter_total(&self, name: &str) -> u64 {
        let row = format!("sapphirestile_{name}_total ");
        let count = |daemon: &DaemonProcess| {
            let answer = call(daemon.operators(), "GET", "/metrics", &[], b"")?;
            let text = String::from_utf8(answer.body).ok()?;
            let mut lines = text.lines();
            lines.find_map(|line| line.strip_prefix(&row)?.parse::<u64>().ok())
        };
        self.daemons.iter().filter_map(count).sum()
    }

    /// Bytes of requests and responses that were sent over the link between regions.
    pub fn link_bytes(&self) -> u64 {
        let daemons = self.daemons.iter();
        daemons
            .map(|daemon| remote_bytes_of(daemon.operators()))
            .sum()
    }

    /// `Some` when the daemons hold all tokens and each holds at least one.
    fn held_tokens(&self) -> Option<()> {
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

/// Bytes to and from the other region, from the metrics of one daemon.
fn remote_bytes_of(operators: SocketAddr) -> u64 {
    let authorization = format!("Bearer {TOKEN}");
    let headers = [("authorization", authorization.as_str())];
    let answer = call(operators, "GET", "/metrics", &headers, b"");
    let answer = answer.expect("the operator port answers /metrics");
    assert_eq!(answer.status, 200, "/metrics returns 200");
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let counters = text
        .lines()
        .filter(|line| line.starts_with(BYTES_METRIC) && line.contains(REMOTE_LABEL));
    let values = counters.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
    values.sum()
}

/// The target folder of the build profile, such as `target/release`.
fn target_folder() -> PathBuf {
    let example = std::env::current_exe().expect("the path of the executable is known");
    let folder = example.ancestors().nth(2);
    folder
        .expect("the executable is in the examples folder of its profile")
        .to_owned()
}
