//! One fleet with its daemons.

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
use crate::fleet::FleetWindow;
use crate::memory::ProcessMemory;

const TASKS_PER_JOB: usize = 32;
const RUN_MS: u64 = 3_600_000;
const MILLIS_PER_TICK: u64 = 10;
const MILLIS_PER_SECOND: u64 = 1_000;
const KB_PER_MB: u64 = 1_024;
const TENTHS: u64 = 10;
const STATUS_DONE: u16 = 200;
const SETTLE: Duration = Duration::from_secs(3);

/// One fleet with three daemons, killed when dropped.
pub struct FleetRun {
    scene: TestFleet,
    daemons: Vec<DaemonProcess>,
    size: FleetSize,
}

impl FleetRun {
    /// Starts stand-ins and daemons, and waits until every cell is owned.
    pub fn start(options: &CapacityOptions, place: usize, size: FleetSize) -> Self {
        let plan = FleetPlan {
            runners: size.per_zone,
            workers: size.per_zone,
            ..FleetPlan::default()
        };
        let folder = format!("{}/fleet-{place}", options.folder);
        let mut scene = TestFleet::start(&options.daemon, &folder, plan);
        // Beyond two waits of the watch, so that cells at rest stay where they are.
        scene.set_limits("suspect_ms = 12000");
        if let Some(count) = size.listed {
            list_workers(scene.platform(), count);
        }
        let first = scene.start_daemon("entry-1", "near-a", &[]);
        let second = scene.start_daemon("entry-2", "near-b", &[first.peers()]);
        let third = scene.start_daemon("entry-3", "far-c", &[first.peers()]);
        let run = Self {
            scene,
            daemons: vec![first, second, third],
            size,
        };
        run.put_document();
        run.scene
            .wait_until_owned(&run.operators(), usize::from(size.cells));
        thread::sleep(SETTLE);
        run
    }

    /// What is spent in a while.
    pub fn watch(&self, length: Duration) -> FleetWindow {
        self.watch_while(|| thread::sleep(length))
    }

    /// What is spent from the first submission until every task runs.
    pub fn watch_starts(&self) -> FleetWindow {
        self.watch_while(|| {
            self.submit_tasks();
            self.wait_running();
        })
    }

    fn watch_while(&self, work: impl FnOnce()) -> FleetWindow {
        let (began, before) = (Instant::now(), self.processes());
        let calls = self.scene.platform().store().service().counts();
        let listed = self.scene.platform().vms().service().counts().bytes;
        work();
        let (after, later) = (
            self.processes(),
            self.scene.platform().store().service().counts(),
        );
        let list_bytes = self.scene.platform().vms().service().counts().bytes - listed;
        let passed_ms = u64::try_from(began.elapsed().as_millis()).expect("a while is short");
        let daemons = after.len() as u64;
        let sum = |rows: &[ProcessMemory], pick: fn(&ProcessMemory) -> u64| -> u64 {
            rows.iter().map(pick).sum()
        };
        let ticks =
            sum(&after, |row| row.processor_ticks) - sum(&before, |row| row.processor_ticks);
        let tenths = |count: u64| count * TENTHS * MILLIS_PER_SECOND / passed_ms;
        FleetWindow {
            milli_cores: ticks * MILLIS_PER_TICK * MILLIS_PER_SECOND / passed_ms / daemons,
            resident_mb: sum(&after, |row| row.resident_kb) / KB_PER_MB / daemons,
            threads: sum(&after, |row| row.threads) / daemons,
            list_bytes: list_bytes * MILLIS_PER_SECOND / passed_ms / daemons,
            reads_tenths: tenths(later.ranges - calls.ranges),
            commits_tenths: tenths(later.txns - calls.txns),
            watches_tenths: tenths(later.watches - calls.watches),
            sessions: self.size.workers(),
        }
    }

    /// Submits the jobs of the fleet's size.
    fn submit_tasks(&self) {
        for place in 0..self.jobs() {
            let job = json!({
                "job": format!("pattern-{place}"), "customer": StandinFleet::CUSTOMER,
                "tasks": TASKS_PER_JOB, "run_ms": RUN_MS,
                "size": { "cpu_milli": 1_000, "memory_mb": 512, "accelerators": 0 },
            });
            let operators = self.operators();
            wait_until("the job is accepted", || {
                let address = operators[place % operators.len()];
                call_json(address, "POST", "/v1/jobs", &job)
                    .filter(|(status, _)| *status == STATUS_DONE)
            });
        }
    }

    /// Waits until every task runs.
    fn wait_running(&self) {
        let operators = self.operators();
        for place in 0..self.jobs() {
            let path = format!("/v1/jobs/pattern-{place}");
            wait_until("every task runs", || {
                let (_, view) = call_json(operators[0], "GET", &path, &Value::Null)?;
                let tasks = view["tasks"].as_array()?;
                let running = tasks.iter().all(|task| task["state"] == "running");
                running.then_some(())
            });
        }
    }

    fn jobs(&self) -> usize {
        self.size.tasks() / TASKS_PER_JOB
    }

    fn operators(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(DaemonProcess::operators).collect()
    }

    fn processes(&self) -> Vec<ProcessMemory> {
        let numbers = self.daemons.iter().map(DaemonProcess::pid);
        numbers
            .map(|number| ProcessMemory::read(&number.to_string()))
            .collect()
    }

    fn put_document(&self) {
        let cells = format!("count = {}", self.size.cells);
        let text = self.scene.platform().document();
        let text = text.replacen("count = 1", &cells, 1);
        let change = json!({ "based_on": 0, "text": text, "author": "operator-1" });
        wait_until("the document is accepted", || {
            call_json(self.operators()[0], "PUT", "/v1/document", &change)
                .filter(|(status, _)| *status == STATUS_DONE)
        });
    }
}

/// Lists more workers than there are stand-ins; several share one's address.
fn list_workers(platform: &StandinFleet, count: usize) {
    let standins = platform.workers();
    let records = (0..count).map(|place| {
        let (zone, _) = FleetPlan::default().zones[place % FleetPlan::default().zones.len()];
        VmRecord {
            name: format!("worker-{zone}-{place:05}"),
            kind: VmKind::Worker,
            address: standins[place % standins.len()].address().to_string(),
            zone: zone
                .try_into()
                .expect("the zones of a plan have valid names"),
            rack: None,
            service: None,
            worker: SharedWorker::Unknown,
            size: None,
            state: VmState::Live,
        }
    });
    platform.vms().service().replace(records.collect());
}
