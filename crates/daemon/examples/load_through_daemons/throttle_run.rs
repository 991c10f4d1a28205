//! Requests on machines that also run batch tasks, with throttling or without.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::batch_meter::BatchMeter;
use crate::call_record::CallRecord;
use crate::caller_load::CallerLoad;
use crate::daemon_fleet::DaemonFleet;
use crate::load_summary::LoadSummary;
use sapphirestile_test_support::call_json;
use sapphirestile_test_support::wait_until;

const CALLERS: usize = 24;
const BASELINE_TIME: Duration = Duration::from_secs(11);
const BATCH_TIME: Duration = Duration::from_secs(48);
/// Time from the start of the batch load after which the first throttles are in effect.
const SETTLED_AFTER: Duration = Duration::from_secs(24);
const QUIET_TASKS: u32 = 48;
const LOUD_TASKS: u32 = 3;
const QUIET_CPU_MILLI: u64 = 1_000;
const LOUD_CPU_MILLI: u64 = 16_000;
const TASK_MS: u64 = 300_000;
/// Lets three loud tasks run at a time, on three of the twelve machines.
const LOUD_QUOTA_MILLI: u64 = 48_000;

/// A load of requests on machines that also run many small (quiet) tasks and a few large
/// (loud) ones.
pub struct ThrottleRun {
    fleet: DaemonFleet,
}

impl ThrottleRun {
    /// Starts three daemons on twelve machines, with throttling enabled in the document or not.
    pub fn start(throttle: bool) -> Self {
        let fleet = DaemonFleet::start_colocated();
        let run = Self { fleet };
        run.put_document(throttle);
        run
    }

    /// Sends requests without tasks, then with tasks, and returns a summary of both for printing.
    pub fn measure(&self) -> String {
        let load = CallerLoad::new(self.fleet.callers(), CALLERS);
        let baseline = LoadSummary::new(CALLERS, &load.run(BASELINE_TIME), 0);
        self.submit("quiet", "kennels", QUIET_TASKS, QUIET_CPU_MILLI);
        self.submit("loud", "looms", LOUD_TASKS, LOUD_CPU_MILLI);
        let ended = AtomicBool::new(false);
        let meter = BatchMeter::new(self.fleet.test_fleet.platform().workers());
        let (records, core_seconds) = std::thread::scope(|scope| {
            let metering = scope.spawn(|| meter.run(&ended));
            let records = load.run(BATCH_TIME);
            ended.store(true, Ordering::Relaxed);
            (records, metering.join().expect("the meter does not panic"))
        });
        let with_tasks = LoadSummary::new(CALLERS, &records, 0);
        let settled = LoadSummary::new(CALLERS, &settled_records(&records), 0);
        let work = format!("{core_seconds:.0} core seconds, {}", self.counts());
        format!(
            "without tasks: {baseline}\n  with tasks: {with_tasks}\n  from {SETTLED_AFTER:?} on: {settled}\n  tasks: {work}"
        )
    }

    /// Numbers of throttles and evictions, and bytes of slowdown reports between daemons.
    fn counts(&self) -> String {
        let names = ["throttles", "evictions", "slowdown_sent_bytes"];
        let counts = names.map(|name| format!("{name} {}", self.fleet.counter_total(name)));
        counts.join(", ")
    }

    fn put_document(&self, throttle: bool) {
        let text = self.fleet.test_fleet.platform().document();
        let text = format!(
            "{text}[colocation]\nthrottle = {throttle}\n\
             [customer looms]\ncpu_milli = {LOUD_QUOTA_MILLI}\nmemory_mb = 1000000\n"
        );
        let operators = self.fleet.daemons[0].operators();
        wait_until("the document is accepted", || {
            let (_, status) = call_json(operators, "GET", "/v1/status", &Value::Null)?;
            let based_on = status["revision"].clone();
            let change = json!({ "based_on": based_on, "text": text, "author": "operator-1" });
            call_json(operators, "PUT", "/v1/document", &change)
                .filter(|(status, _)| *status == 200)
        });
    }

    fn submit(&self, job: &str, customer: &str, tasks: u32, cpu_milli: u64) {
        let body = json!({
            "job": job, "customer": customer, "tasks": tasks, "run_ms": TASK_MS,
            "size": { "cpu_milli": cpu_milli, "memory_mb": 512, "accelerators": 0 },
        });
        let operators = self.fleet.daemons[0].operators();
        wait_until("the job is accepted", || {
            call_json(operators, "POST", "/v1/jobs", &body).filter(|(status, _)| *status == 200)
        });
    }
}

/// The requests that ended after `SETTLED_AFTER`, with their end times relative to it.
fn settled_records(records: &[CallRecord]) -> Vec<CallRecord> {
    let later = records
        .iter()
        .filter(|record| record.ended >= SETTLED_AFTER);
    let since = |record: &CallRecord| CallRecord {
        ended: record.ended.saturating_sub(SETTLED_AFTER),
        ..record.clone()
    };
    later.map(since).collect()
}
