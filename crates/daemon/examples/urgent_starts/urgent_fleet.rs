//! Daemons and workers for urgent work.

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

const PLACES: [(&str, &str); 3] = [
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
const TRIES: usize = 12_000;
const PAUSE: Duration = Duration::from_millis(5);

/// Three daemons as processes on 24 workers.
pub struct UrgentScene {
    scene: TestFleet,
    daemons: Vec<DaemonProcess>,
}

impl UrgentScene {
    /// Starts the daemons with default limits and waits until the cell is owned.
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
        assert!(binary.exists(), "the daemon is built first");
        let mut scene = TestFleet::start(
            &binary.display().to_string(),
            &folder.display().to_string(),
            plan,
        );
        scene.set_limits("");
        let mut daemons: Vec<DaemonProcess> = Vec::new();
        for (name, zone) in PLACES {
            let seeds: Vec<SocketAddr> = daemons.iter().map(DaemonProcess::peers).collect();
            daemons.push(scene.start_daemon(name, zone, &seeds));
        }
        scene.put_document(daemons[0].operators());
        let scene = Self { scene, daemons };
        scene.scene.wait_until_owned(&scene.operators(), 1);
        scene
    }

    /// Submits a backlog larger than all workers and waits until it fills them.
    pub fn fill(&self) {
        self.submit("backlog", BACKLOG_TASKS, BACKLOG_RUN_MS, false);
        let mut before = 0;
        wait_until("the backlog has filled the workers", || {
            thread::sleep(Duration::from_secs(1));
            let started = self.attempts();
            let full = started > 0 && started == before;
            before = started;
            full.then_some(())
        });
    }

    /// Kills the daemon that owns the cell.
    pub fn kill_owner(&mut self) {
        let owns = |daemon: &DaemonProcess| {
            let status = call_json(daemon.operators(), "GET", "/v1/status", &Value::Null);
            let cells = status.and_then(|(_, status)| status["cells"].as_array().map(Vec::len));
            cells.is_some_and(|cells| cells > 0)
        };
        let place = self.daemons.iter().position(owns);
        self.daemons.remove(place.expect("a daemon owns it")).kill();
    }

    /// Submits an urgent job of one task and returns how long after its first
    /// try it began at a worker, in milliseconds.
    pub fn start_urgent(&self, job: &str) -> u64 {
        let asked_ms = unix_ms();
        self.submit(job, 1, URGENT_RUN_MS, true);
        for _ in 0..TRIES {
            if let Some(started_ms) = self.started_ms(job) {
                return started_ms.saturating_sub(asked_ms);
            }
            thread::sleep(PAUSE);
        }
        panic!("{job} was not started");
    }

    fn submit(&self, job: &str, tasks: u64, run_ms: u64, urgent: bool) {
        let body = json!({
            "job": job, "customer": StandinFleet::CUSTOMER, "tasks": tasks, "run_ms": run_ms,
            "size": TASK_SIZE, "urgent": urgent,
        });
        let operators = self.operators();
        for turn in 0..TRIES {
            let address = operators[turn % operators.len()];
            let answer = call_json(address, "POST", "/v1/jobs", &body);
            if answer.is_some_and(|(status, _)| status == 200) {
                return;
            }
            thread::sleep(PAUSE);
        }
        panic!("{job} was not accepted");
    }

    fn operators(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(DaemonProcess::operators).collect()
    }

    fn attempts(&self) -> usize {
        let workers = self.scene.platform().workers().iter();
        workers.map(|worker| worker.service().history().len()).sum()
    }

    /// When the job's first task began, in milliseconds since 1970.
    fn started_ms(&self, job: &str) -> Option<u64> {
        let workers = self.scene.platform().workers().iter();
        let rows = workers.flat_map(|worker| worker.service().history());
        let of_job = rows.filter(|row| row.task.job.as_str() == job);
        of_job.map(|row| row.started_ms).min()
    }
}

fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let elapsed = elapsed.expect("the time is after 1970").as_millis();
    u64::try_from(elapsed).expect("the time fits")
}

/// The folder of the profile that this example was built with.
fn target_folder() -> PathBuf {
    let example = std::env::current_exe().expect("a process knows its program");
    let folder = example.ancestors().nth(2);
    folder.expect("an example has a folder").to_owned()
}
