//! A cluster of three daemons, and calls that the tests share.

use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;

use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_standins::worker::HistoryRow;
use sapphirestile_test_support::DaemonProcess;
use sapphirestile_test_support::FaultProxy;
use sapphirestile_test_support::TestFleet;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;

const DAEMON: &str = env!("CARGO_BIN_EXE_sapphirestiled");
const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");
/// The name and the zone of each daemon.
const DAEMON_ZONES: [(&str, &str); 3] = [
    ("entry-1", "near-a"),
    ("entry-2", "near-b"),
    ("entry-3", "far-c"),
];
/// The limits of the daemons' settings, unless a test gives others.
const LIMITS: &str = "heartbeat_ms = 100\nsuspect_ms = 1000\n";
/// The number of cells that the document of the default plan has.
pub const CELLS: usize = 1;

/// Platform stand-ins and three daemons that own all cells together.
pub struct TestCluster {
    name: String,
    pub fleet: TestFleet,
    pub daemons: Vec<DaemonProcess>,
}

impl TestCluster {
    /// Starts the daemons, puts the plan's document in force and waits until every cell has
    /// an owner. `name` names the folder of settings and logs.
    pub fn start(name: &str, plan: FleetPlan) -> Self {
        Self::start_with_links(name, plan).0
    }

    /// Like [`start`](Self::start). Also returns the link of each daemon to the store.
    pub fn start_with_links(name: &str, plan: FleetPlan) -> (Self, Vec<FaultProxy>) {
        Self::start_with_limits(name, plan, LIMITS)
    }

    /// Like [`start_with_links`](Self::start_with_links), with other limits in the daemons'
    /// settings.
    pub fn start_with_limits(name: &str, plan: FleetPlan, limits: &str) -> (Self, Vec<FaultProxy>) {
        let cells = usize::from(plan.cells);
        let mut fleet = TestFleet::start(DAEMON, &format!("{FOLDER}/{name}"), plan);
        fleet.set_limits(limits);
        let mut daemons: Vec<DaemonProcess> = Vec::new();
        let mut links = Vec::new();
        for (daemon, zone) in DAEMON_ZONES {
            let link = FaultProxy::start(fleet.platform().store().address());
            let seeds: Vec<SocketAddr> = daemons.iter().map(DaemonProcess::peers).collect();
            daemons.push(fleet.start_daemon_with_store(daemon, zone, &seeds, link.address()));
            links.push(link);
        }
        let cluster = Self {
            name: name.to_owned(),
            fleet,
            daemons,
        };
        cluster.fleet.put_document(cluster.daemons[0].operators());
        cluster.fleet.wait_until_owned(&cluster.operators(), cells);
        (cluster, links)
    }

    /// Removes the logs that earlier runs of a test left.
    pub fn clear_logs(name: &str) {
        for (daemon, _) in DAEMON_ZONES {
            // There is no log at the first run.
            let _removed = std::fs::remove_file(log_path(name, daemon));
        }
    }

    /// The log of a daemon, one JSON object for each line.
    pub fn log_lines(&self, index: usize) -> Vec<Value> {
        let path = log_path(&self.name, DAEMON_ZONES[index].0);
        let text = std::fs::read_to_string(path).expect("the log file can be read");
        let lines = text.lines().map(|line| {
            serde_json::from_str(line).unwrap_or_else(|_| panic!("a log line is not JSON: {line}"))
        });
        lines.collect()
    }

    /// The operators' ports of the daemons.
    pub fn operators(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(DaemonProcess::operators).collect()
    }

    /// Removes the daemon that owns the cell of `job` from the cluster and returns it. The
    /// process keeps running until it is stopped or dropped.
    pub fn remove_owner(&mut self, job: &str) -> DaemonProcess {
        let index = self.owner_index(job);
        self.daemons.remove(index)
    }

    /// The index of the daemon that owns the cell of `job`; waits until there is one.
    pub fn owner_index(&self, job: &str) -> usize {
        let view =
            job_view(self.daemons[0].operators(), job).expect("the daemon responds with the job");
        let cell = view["cell"]
            .as_u64()
            .expect("the cell in the view of a job is a number");
        wait_until("a daemon reports that it owns the cell", || {
            self.daemons
                .iter()
                .position(|daemon| owns_cell(daemon.operators(), cell))
        })
    }

    /// Every attempt that was started at any worker.
    pub fn history(&self) -> Vec<HistoryRow> {
        let workers = self.fleet.platform().workers().iter();
        workers
            .flat_map(|worker| worker.service().history())
            .collect()
    }

    /// Checks that no two attempts of a task ran at the same time, whether at one worker or
    /// at two.
    pub fn assert_no_overlapping_attempts(&self) {
        let history = self.history();
        for (index, row) in history.iter().enumerate() {
            for other in &history[index + 1..] {
                assert!(
                    row.task != other.task || is_disjoint(row, other),
                    "two attempts of task {} overlap: {row:?} and {other:?}",
                    row.task
                );
            }
        }
    }
}

fn log_path(name: &str, daemon: &str) -> String {
    format!("{FOLDER}/{name}/{daemon}.log")
}

fn is_disjoint(row: &HistoryRow, other: &HistoryRow) -> bool {
    let before = |left: &HistoryRow, right: &HistoryRow| {
        left.ended_ms.is_some_and(|ended| ended <= right.started_ms)
    };
    before(row, other) || before(other, row)
}

fn owns_cell(operators: SocketAddr, cell: u64) -> bool {
    let status = call_json(operators, "GET", "/v1/status", &Value::Null);
    let cells = status.and_then(|(_, status)| status["cells"].as_array().cloned());
    cells
        .unwrap_or_default()
        .iter()
        .any(|owned| owned["cell"] == cell)
}

/// Submits a job of tasks that declare 1,000 milli-cores, and retries until it is accepted.
pub fn submit(operators: SocketAddr, job: &str, tasks: u32, run_ms: u64) {
    submit_job(operators, &job_body(job, tasks, run_ms, 1_000));
}

/// The body of the submission of a job whose tasks declare `cpu_milli` milli-cores and
/// 512 MB.
pub fn job_body(job: &str, tasks: u32, run_ms: u64, cpu_milli: u64) -> Value {
    json!({
        "job": job, "customer": "kennels", "tasks": tasks, "run_ms": run_ms,
        "size": { "cpu_milli": cpu_milli, "memory_mb": 512, "accelerators": 0 },
    })
}

/// Submits a job, and retries until it is accepted.
pub fn submit_job(operators: SocketAddr, body: &Value) {
    wait_until("the job is accepted", || {
        call_json(operators, "POST", "/v1/jobs", body).filter(|(status, _)| *status == 200)
    });
}

/// Every attempt of a job that was started at any worker.
pub fn job_history(cluster: &TestCluster, job: &str) -> Vec<HistoryRow> {
    let mut history = cluster.history();
    history.retain(|row| row.task.job.as_str() == job);
    history
}

/// The job as a daemon shows it; `None` when it does not respond or refuses.
pub fn job_view(operators: SocketAddr, job: &str) -> Option<Value> {
    let (status, view) = call_json(operators, "GET", &format!("/v1/jobs/{job}"), &Value::Null)?;
    (status == 200).then_some(view)
}

/// Waits until a job is in a state, and returns its view.
pub fn wait_job_state(operators: SocketAddr, job: &str, state: &str) -> Value {
    wait_until(&format!("job {job} is {state}"), || {
        job_view(operators, job).filter(|view| view["state"] == state)
    })
}

/// Waits until all tasks of a job are running at the same time.
pub fn wait_all_running(operators: SocketAddr, job: &str) {
    wait_until("all tasks of the job are running", || {
        let view = job_view(operators, job)?;
        let tasks = view["tasks"].as_array()?;
        tasks
            .iter()
            .all(|task| task["state"] == "running")
            .then_some(())
    });
}

/// The number of tokens that the daemons hold together; `None` when one does not respond.
pub fn total_tokens(operators: &[SocketAddr]) -> Option<u64> {
    let mut sum = 0;
    for address in operators {
        let (_, status) = call_json(*address, "GET", "/v1/status", &Value::Null)?;
        let services = status["services"].as_array()?.clone();
        let tokens = services.iter().map(|service| service["tokens"].as_u64());
        sum += tokens.sum::<Option<u64>>()?;
    }
    Some(sum)
}
