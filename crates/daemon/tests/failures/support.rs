//! What the scenes share.

use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;

use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_standins::worker::HistoryRow;
use sapphirestile_test_support::DaemonProcess;
use sapphirestile_test_support::FaultProxy;
use sapphirestile_test_support::TestCluster;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;

const DAEMON: &str = env!("CARGO_BIN_EXE_sapphirestiled");
const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");
const PLACES: [(&str, &str); 3] = [
    ("entry-1", "near-a"),
    ("entry-2", "near-b"),
    ("entry-3", "far-c"),
];
const LIMITS: &str = "heartbeat_ms = 100\nsuspect_ms = 1000\n";
/// The cells of the document, unless a scene's plan says otherwise.
pub const CELLS: usize = 1;

/// A platform, and three daemons that own every cell.
pub struct Stage {
    name: String,
    pub scene: TestCluster,
    pub daemons: Vec<DaemonProcess>,
}

impl Stage {
    pub fn set(name: &str, plan: FleetPlan) -> Self {
        Self::set_linked(name, plan).0
    }

    /// The same, with a link to the store for each daemon.
    pub fn set_linked(name: &str, plan: FleetPlan) -> (Self, Vec<FaultProxy>) {
        Self::set_limited(name, plan, LIMITS)
    }

    /// The same, with other limits in the daemons' settings.
    pub fn set_limited(scene_name: &str, plan: FleetPlan, limits: &str) -> (Self, Vec<FaultProxy>) {
        let cells = usize::from(plan.cells);
        let mut scene = TestCluster::start(DAEMON, &format!("{FOLDER}/{scene_name}"), plan);
        scene.set_limits(limits);
        let mut daemons: Vec<DaemonProcess> = Vec::new();
        let mut links = Vec::new();
        for (name, zone) in PLACES {
            let link = FaultProxy::start(scene.platform().store().address());
            let seeds: Vec<SocketAddr> = daemons.iter().map(DaemonProcess::peers).collect();
            daemons.push(scene.start_daemon_with_store(name, zone, &seeds, link.address()));
            links.push(link);
        }
        let stage = Self {
            name: scene_name.to_owned(),
            scene,
            daemons,
        };
        stage.scene.put_document(stage.daemons[0].operators());
        stage.scene.wait_until_owned(&stage.operators(), cells);
        (stage, links)
    }

    /// Removes the logs of earlier runs of a scene.
    pub fn clear_logs(name: &str) {
        for (daemon, _) in PLACES {
            // There is none at the first run.
            let _removed = std::fs::remove_file(log_path(name, daemon));
        }
    }

    /// What a daemon has logged, a JSON object a line.
    pub fn log_lines(&self, place: usize) -> Vec<Value> {
        let path = log_path(&self.name, PLACES[place].0);
        let text = std::fs::read_to_string(path).expect("the log can be read");
        let lines = text
            .lines()
            .map(|line| serde_json::from_str(line).unwrap_or_else(|_| panic!("no JSON: {line}")));
        lines.collect()
    }

    pub fn operators(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(DaemonProcess::operators).collect()
    }

    /// Takes the daemon out that owns the cell of `job`.
    pub fn take_owner(&mut self, job: &str) -> DaemonProcess {
        let place = self.owner_of(job);
        self.daemons.remove(place)
    }

    /// The place of the daemon that owns the cell of `job`.
    pub fn owner_of(&self, job: &str) -> usize {
        let view = show_job(self.daemons[0].operators(), job).expect("the job is known");
        let cell = view["cell"].as_u64().expect("a cell is a number");
        wait_until("the owner is known", || {
            self.daemons
                .iter()
                .position(|daemon| owns(daemon.operators(), cell))
        })
    }

    /// Every attempt that any worker has run.
    pub fn history(&self) -> Vec<HistoryRow> {
        let workers = self.scene.platform().workers().iter();
        workers
            .flat_map(|worker| worker.service().history())
            .collect()
    }

    /// No task ran in two places at once.
    pub fn assert_never_twice(&self) {
        let history = self.history();
        for (place, row) in history.iter().enumerate() {
            for other in &history[place + 1..] {
                assert!(
                    row.task != other.task || apart(row, other),
                    "{} ran in two places at once: {row:?} and {other:?}",
                    row.task
                );
            }
        }
    }
}

fn log_path(scene: &str, daemon: &str) -> String {
    format!("{FOLDER}/{scene}/{daemon}.log")
}

fn apart(row: &HistoryRow, other: &HistoryRow) -> bool {
    let before = |left: &HistoryRow, right: &HistoryRow| {
        left.ended_ms.is_some_and(|ended| ended <= right.started_ms)
    };
    before(row, other) || before(other, row)
}

fn owns(operators: SocketAddr, cell: u64) -> bool {
    let status = call_json(operators, "GET", "/v1/status", &Value::Null);
    let cells = status.and_then(|(_, status)| status["cells"].as_array().cloned());
    cells
        .unwrap_or_default()
        .iter()
        .any(|owned| owned["cell"] == cell)
}

/// Submits a job until it is accepted.
pub fn submit(operators: SocketAddr, job: &str, tasks: u32, run_ms: u64) {
    submit_body(operators, &job_of(job, tasks, run_ms, 1_000));
}

/// The submission of a job whose tasks declare `cpu_milli`.
pub fn job_of(job: &str, tasks: u32, run_ms: u64, cpu_milli: u64) -> Value {
    json!({
        "job": job, "customer": "kennels", "tasks": tasks, "run_ms": run_ms,
        "size": { "cpu_milli": cpu_milli, "memory_mb": 512, "accelerators": 0 },
    })
}

/// Submits the body of a job until it is accepted.
pub fn submit_body(operators: SocketAddr, body: &Value) {
    wait_until("the job is accepted", || {
        call_json(operators, "POST", "/v1/jobs", body).filter(|(status, _)| *status == 200)
    });
}

/// The attempts of a job that any worker has run.
pub fn history_of(stage: &Stage, job: &str) -> Vec<HistoryRow> {
    let mut history = stage.history();
    history.retain(|row| row.task.job.as_str() == job);
    history
}

/// The job as a daemon shows it, when it can.
pub fn show_job(operators: SocketAddr, job: &str) -> Option<Value> {
    let (status, view) = call_json(operators, "GET", &format!("/v1/jobs/{job}"), &Value::Null)?;
    (status == 200).then_some(view)
}

/// Waits until a job has come to a state, and returns it.
pub fn wait_job(operators: SocketAddr, job: &str, state: &str) -> Value {
    wait_until(&format!("job {job} is {state}"), || {
        show_job(operators, job).filter(|view| view["state"] == state)
    })
}

/// Waits until every task of a job runs.
pub fn wait_running(operators: SocketAddr, job: &str) {
    wait_until("every task runs", || {
        let view = show_job(operators, job)?;
        let tasks = view["tasks"].as_array()?;
        tasks
            .iter()
            .all(|task| task["state"] == "running")
            .then_some(())
    });
}

/// The tokens that the daemons hold together.
pub fn tokens_of(operators: &[SocketAddr]) -> Option<u64> {
    let mut sum = 0;
    for address in operators {
        let (_, status) = call_json(*address, "GET", "/v1/status", &Value::Null)?;
        let services = status["services"].as_array()?.clone();
        let tokens = services.iter().map(|service| service["tokens"].as_u64());
        sum += tokens.sum::<Option<u64>>()?;
    }
    Some(sum)
}
