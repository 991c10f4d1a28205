//! A running fleet: three daemons and their stand-ins.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use sapphirestile_standins::fleet::FleetPlan;
use sapphirestile_standins::fleet::StandinFleet;
use sapphirestile_test_support::DaemonProcess;
use sapphirestile_test_support::TestFleet;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;
use sapphirestile_wire::vms::SharedWorker;
use sapphirestile_wire::vms::VmKind;
use sapphirestile_wire::vms::VmRecord;
use sapphirestile_wire::vms::VmState;

use crate::CapacityOptions;
use crate::fleet::FleetSize;
use crate::fleet::FleetUsage;
use crate::memory::ProcessUsage;

const TASKS_PER_JOB: usize = 32;
const TASK_RUN_MS: u64 = 3_600_000;
/// Linux reports processor time in ticks of 1/100 s.
const MS_PER_TICK: u64 = 10;
const MS_PER_SECOND: u64 = 1_000;
const KB_PER_MB: u64 = 1_024;
/// Store calls are reported per this many seconds, so that low rates keep one decimal.
const RATE_PERIOD_S: u64 = 10;
const STATUS_OK: u16 = 200;
/// Time after start-up that is not measured.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Three daemons with their stand-ins. Dropping it kills the daemons.
pub struct FleetRun {
    fleet: TestFleet,
    daemons: Vec<DaemonProcess>,
    size: FleetSize,
}

impl FleetRun {
    /// Starts stand-ins and daemons, and waits until every cell is owned. `index` makes the
    /// folder of settings and logs unique.
    pub fn start(options: &CapacityOptions, index: usize, size: FleetSize) -> Self {
        let plan = FleetPlan {
            runners: size.standins_per_zone,
            workers: size.standins_per_zone,
            ..FleetPlan::default()
        };
        let folder = format!("{}/fleet-{index}", options.folder);
        let mut fleet = TestFleet::start(&options.daemon, &folder, plan);
        // Longer than two waits of a store watch, so that cells of an idle fleet keep their
        // owners.
        fleet.set_limits("suspect_ms = 12000");
        if let Some(count) = size.listed_workers {
            list_workers(fleet.platform(), count);
        }
        let first = fleet.start_daemon("entry-1", "near-a", &[]);
        let second = fleet.start_daemon("entry-2", "near-b", &[first.peers()]);
        let third = fleet.start_daemon("entry-3", "far-c", &[first.peers()]);
        let run = Self {
            fleet,
            daemons: vec![first, second, third],
            size,
        };
        run.put_document();
        run.fleet
            .wait_until_owned(&run.operators(), usize::from(size.cells));
        thread::sleep(SETTLE_TIME);
        run
    }

    /// Measures the usage over `duration`.
    pub fn measure(&self, duration: Duration) -> FleetUsage {
        self.measure_during(|| thread::sleep(duration))
    }

    /// Submits all jobs, and measures the usage from the first submission until every task
    /// runs.
    pub fn measure_starts(&self) -> FleetUsage {
        self.measure_during(|| {
            self.submit_tasks();
            self.wait_until_running();
        })
    }

    /// Measures the usage while `work` runs.
    fn measure_during(&self, work: impl FnOnce()) -> FleetUsage {
        let (started, usage_before) = (Instant::now(), self.process_usages());
        let store_before = self.fleet.platform().store().service().counts();
        let list_bytes_before = self.fleet.platform().vms().service().counts().bytes;
        work();
        let (usage_after, store_after) = (
            self.process_usages(),
            self.fleet.platform().store().service().counts(),
        );
        let list_bytes = self.fleet.platform().vms().service().counts().bytes - list_bytes_before;
        let elapsed_ms =
            u64::try_from(started.elapsed().as_millis()).expect("the elapsed milliseconds fit u64");
        let daemons = usage_after.len() as u64;
        let sum = |rows: &[ProcessUsage], field: fn(&ProcessUsage) -> u64| -> u64 {
            rows.iter().map(field).sum()
        };
        let ticks =
            sum(&usage_after, |row| row.cpu_ticks) - sum(&usage_before, |row| row.cpu_ticks);
        let per_10s = |count: u64| count * RATE_PERIOD_S * MS_PER_SECOND / elapsed_ms;
        FleetUsage {
            milli_cores: ticks * MS_PER_TICK * MS_PER_SECOND / elapsed_ms / daemons,
            resident_mb: sum(&usage_after, |row| row.resident_kb) / KB_PER_MB / daemons,
            threads: sum(&usage_after, |row| row.threads) / daemons,
            list_bytes_per_s: list_bytes * MS_PER_SECOND / elapsed_ms / daemons,
            store_reads_per_10s: per_10s(store_after.ranges - store_before.ranges),
            store_commits_per_10s: per_10s(store_after.txns - store_before.txns),
            store_watches_per_10s: per_10s(store_after.watches - store_before.watches),
            sessions_per_s: self.size.workers(),
        }
    }

    /// Submits all jobs, in turn to each daemon.
    fn submit_tasks(&self) {
        for index in 0..self.job_count() {
            let job = json!({
                "job": format!("pattern-{index}"), "customer": StandinFleet::CUSTOMER,
                "tasks": TASKS_PER_JOB, "run_ms": TASK_RUN_MS,
                "size": { "cpu_milli": 1_000, "memory_mb": 512, "accelerators": 0 },
            });
            let operators = self.operators();
            wait_until("the job is accepted", || {
                let address = operators[index % operators.len()];
                call_json(address, "POST", "/v1/jobs", &job)
                    .filter(|(status, _)| *status == STATUS_OK)
            });
        }
    }

    fn wait_until_running(&self) {
        let operators = self.operators();
        for index in 0..self.job_count() {
            let path = format!("/v1/jobs/pattern-{index}");
            wait_until("every task runs", || {
                let (_, view) = call_json(operators[0], "GET", &path, &Value::Null)?;
                let tasks = view["tasks"].as_array()?;
                let running = tasks.iter().all(|task| task["state"] == "running");
                running.then_some(())
            });
        }
    }

    fn job_count(&self) -> usize {
        self.size.tasks() / TASKS_PER_JOB
    }

    fn operators(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(DaemonProcess::operators).collect()
    }

    fn process_usages(&self) -> Vec<ProcessUsage> {
        let pids = self.daemons.iter().map(DaemonProcess::pid);
        pids.map(|pid| ProcessUsage::read(&pid.to_string()))
            .collect()
    }

    /// Writes a document with the number of cells of the fleet size.
    fn put_document(&self) {
        let cells = format!("count = {}", self.size.cells);
        let text = self.fleet.platform().document();
        let text = text.replacen("count = 1", &cells, 1);
        let change = json!({ "based_on": 0, "text": text, "author": "operator-1" });
        wait_until("the document is accepted", || {
            call_json(self.operators()[0], "PUT", "/v1/document", &change)
                .filter(|(status, _)| *status == STATUS_OK)
        });
    }
}

/// Replaces the list of VMs by `count` workers. These may outnumber the stand-ins: several
/// workers then share the address of one.
fn list_workers(platform: &StandinFleet, count: usize) {
    let standins = platform.workers();
    let records = (0..count).map(|index| {
        let (zone, _) = FleetPlan::default().zones[index % FleetPlan::default().zones.len()];
        VmRecord {
            name: format!("worker-{zone}-{index:05}"),
            kind: VmKind::Worker,
            address: standins[index % standins.len()].address().to_string(),
            zone: zone
                .try_into()
                .expect("the zone names of the default plan are valid"),
            rack: None,
            service: None,
            worker: SharedWorker::Unknown,
            size: None,
            state: VmState::Live,
        }
    });
    platform.vms().service().replace(records.collect());
}
