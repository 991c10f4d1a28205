//! Daemons and workers for the measurement.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde_json::Value;
use serde_json::json;

use sapphirestile_core::ResourceSize;
use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_standins::fleet::StandinFleet;
use sapphirestile_standins::worker::WorkerSettings;
use sapphirestile_test_support::DaemonProcess;
use sapphirestile_test_support::TestFleet;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;

const DAEMONS: [(&str, &str); 3] = [
    ("entry-1", "near-a"),
    ("entry-2", "near-b"),
    ("entry-3", "far-c"),
];
const WORKERS_PER_ZONE: usize = 8;
const WORKER_SIZE: ResourceSize = ResourceSize {
    cpu_milli: 8_000,
    memory_mb: 32_000,
    accelerators: 0,
};
const TASK_SIZE: ResourceSize = ResourceSize {
    cpu_milli: 1_000,
    memory_mb: 4_000,
    accelerators: 0,
};
const BACKLOG_TASKS: u64 = 400;
const BACKLOG_RUN_MS: u64 = 600_000;
const URGENT_RUN_MS: u64 = 200;
const ATTEMPTS_MAX: usize = 12_000;
const RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Three daemon processes on a simulated platform with 24 workers and one cell.
pub struct UrgentFleet {
    test_fleet: TestFleet,
    daemons: Vec<DaemonProcess>,
}

impl UrgentFleet {
    /// Starts the daemons with default limits and waits until the cell has an owner. `round` only
    /// names the folder of their files.
    pub fn start(round: usize) -> Self {
        let worker = WorkerSettings {
            size: WORKER_SIZE,
            usage_permille: 1_000,
            ..WorkerSettings::default()
        };
        let plan = FleetPlan {
            workers: WORKERS_PER_ZONE,
            worker,
            ..FleetPlan::default()
        };
        let folder = target_folder().join(format!("urgent_starts_{round}"));
        let binary = target_folder().join("sapphirestiled");
        assert!(
            binary.exists(),
            "sapphirestiled is built in the profile of this example"
        );
        let mut test_fleet = TestFleet::start(
            &binary.display().to_string(),
            &folder.display().to_string(),
            plan,
        );
        test_fleet.set_limits("");
        let mut daemons: Vec<DaemonProcess> = Vec::new();
        for (name, zone) in DAEMONS {
            let seeds: Vec<SocketAddr> = daemons.iter().map(DaemonProcess::peers).collect();
            daemons.push(test_fleet.start_daemon(name, zone, &seeds));
        }
        test_fleet.put_document(daemons[0].operators());
        let fleet = Self {
            test_fleet,
            daemons,
        };
        fleet.test_fleet.wait_until_owned(&fleet.operators(), 1);
        fleet
    }

    /// Submits a backlog that exceeds the capacity of all workers, and waits until no more of its
    /// tasks start within a second.
    pub fn fill_workers(&self) {
        self.submit("backlog", BACKLOG_TASKS, BACKLOG_RUN_MS, false);
        let mut before = 0;
        wait_until("the backlog has filled the workers", || {
            thread::sleep(Duration::from_secs(1));
            let started = self.started_attempts();
            let full = started > 0 && started == before;
            before = started;
            full.then_some(())
        });
    }

    /// Kills the daemon that owns the cell.
    ///
    /// # Panics
    ///
    /// When no daemon reports that it owns a cell.
    pub fn kill_owner(&mut self) {
        let owns = |daemon: &DaemonProcess| {
            let status = call_json(daemon.operators(), "GET", "/v1/status", &Value::Null);
            let cells = status.and_then(|(_, status)| status["cells"].as_array().map(Vec::len));
            cells.is_some_and(|cells| cells > 0)
        };
        let index = self.daemons.iter().position(owns);
        self.daemons
            .remove(index.expect("a daemon owns the cell"))
            .kill();
    }

    /// Submits an urgent job of one task. Returns the time in milliseconds from the first
    /// submission, which is retried until it is accepted, to the start on a worker.
    ///
    /// # Panics
    ///
    /// When the job is not accepted or not started within `ATTEMPTS_MAX` attempts.
    pub fn measure_urgent_start(&self, job: &str) -> u64 {
        let submitted_ms = unix_ms();
        self.submit(job, 1, URGENT_RUN_MS, true);
        for _ in 0..ATTEMPTS_MAX {
            if let Some(started_ms) = self.started_ms(job) {
                return started_ms.saturating_sub(submitted_ms);
            }
            thread::sleep(RETRY_INTERVAL);
        }
        panic!("{job} was not started within {ATTEMPTS_MAX} polls");
    }

    fn submit(&self, job: &str, tasks: u64, run_ms: u64, urgent: bool) {
        let body = json!({
            "job": job, "customer": StandinFleet::CUSTOMER, "tasks": tasks, "run_ms": run_ms,
            "size": TASK_SIZE, "urgent": urgent,
        });
        let operators = self.operators();
        for turn in 0..ATTEMPTS_MAX {
            let address = operators[turn % operators.len()];
            let answer = call_json(address, "POST", "/v1/jobs", &body);
            if answer.is_some_and(|(status, _)| status == 200) {
                return;
            }
            thread::sleep(RETRY_INTERVAL);
        }
        panic!("{job} was not accepted within {ATTEMPTS_MAX} submissions");
    }

    fn operators(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(DaemonProcess::operators).collect()
    }

    fn started_attempts(&self) -> usize {
        let workers = self.test_fleet.platform().workers().iter();
        workers.map(|worker| worker.service().history().len()).sum()
    }

    /// Start of the first attempt of the job, in milliseconds of Unix time. `None` before that.
    fn started_ms(&self, job: &str) -> Option<u64> {
        let workers = self.test_fleet.platform().workers().iter();
        let rows = workers.flat_map(|worker| worker.service().history());
        let of_job = rows.filter(|row| row.task.job.as_str() == job);
        of_job.map(|row| row.started_ms).min()
    }
}

fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let elapsed = elapsed.expect("the system time is after 1970").as_millis();
    u64::try_from(elapsed).expect("Unix time in milliseconds fits 64 bits")
}

/// The target folder of the build profile, such as `target/release`.
fn target_folder() -> PathBuf {
    let example = std::env::current_exe().expect("the path of the executable is known");
    let folder = example.ancestors().nth(2);
    folder
        .expect("the executable is in the examples folder of its profile")
        .to_owned()
}
