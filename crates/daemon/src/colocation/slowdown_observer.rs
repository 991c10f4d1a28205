//! Measures the slowdown of requests that share a machine with a worker.

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::RecvTimeoutError;
use tracing::warn;

use crate::colocation::SlowdownSender;
use crate::colocation::SlowdownSum;
use crate::context::DaemonContext;
use crate::context::RepeatLimiter;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ServiceName;
use sapphirestile_core::SortedTable;
use sapphirestile_core::WorkerName;
use sapphirestile_routing::RunnerRow;
use sapphirestile_routing::RunnerSlowdown;
use sapphirestile_routing::SlowdownMeter;
use sapphirestile_wire::vms::SharedWorker;

/// Workers with a slowdown below the low threshold are reported in every sixth round only,
/// because traffic between daemons costs money.
const LOW_REPORT_ROUNDS: u64 = 6;

/// Measures by how much requests are slowed on the runners that share a machine with each
/// worker. It runs on a thread of its own, off the request path.
pub struct SlowdownObserver {
    context: Arc<DaemonContext>,
    sender: SlowdownSender,
    meters: SortedTable<ServiceName, SlowdownMeter>,
    log_limiter: RepeatLimiter,
    /// Number of rounds measured so far.
    rounds: u64,
}

impl SlowdownObserver {
    /// Creates an observer that reports through `sender`.
    #[must_use]
    pub fn new(context: Arc<DaemonContext>, sender: SlowdownSender) -> Self {
        Self {
            context,
            sender,
            meters: SortedTable::new(),
            log_limiter: RepeatLimiter::default(),
            rounds: 0,
        }
    }

    /// Measures and reports every `slowdown_ms` of the settings until `stop` is closed. Blocks
    /// the calling thread.
    pub fn run(&mut self, stop: &Receiver<()>) {
        let interval = Duration::from_millis(self.context.settings.limits.slowdown_ms);
        while stop.recv_timeout(interval) == Err(RecvTimeoutError::Timeout) {
            self.observe(self.context.clock.now());
        }
    }

    fn observe(&mut self, now: MonoTime) {
        self.rounds += 1;
        let mut sums: SortedTable<WorkerName, SlowdownSum> = SortedTable::new();
        for slowdown in self.measure(now) {
            if let Some(worker) = self.worker_next_to(&slowdown, now) {
                sums.get_or_insert_with(worker, SlowdownSum::default)
                    .add(&slowdown);
            }
        }
        let low_permille = self
            .context
            .document
            .load()
            .document()
            .colocation
            .low_permille;
        let reports_all = self.rounds.is_multiple_of(LOW_REPORT_ROUNDS);
        let rows = sums.iter().map(|(worker, sum)| sum.row(worker, now));
        let reported =
            rows.filter(|row| reports_all || u64::from(row.slowdown_permille) >= low_permille);
        self.sender.send(reported.collect(), now);
    }

    /// Measures the slowdown of all runners of the routing table, service by service.
    fn measure(&mut self, now: MonoTime) -> Vec<RunnerSlowdown> {
        let routes = self.context.routes.load();
        let mut services: SortedTable<&ServiceName, Vec<&RunnerRow>> = SortedTable::new();
        for row in routes.rows() {
            services
                .get_or_insert_with(&row.service, Vec::new)
                .push(row);
        }
        self.meters.retain(|service, _| services.contains(&service));
        let mut slowdowns = Vec::new();
        for (service, rows) in services.iter() {
            let meter = self
                .meters
                .get_or_insert_with((*service).clone(), SlowdownMeter::default);
            slowdowns.extend(meter.measure(rows, now));
        }
        slowdowns
    }

    /// The worker on the same machine as a runner; `None` when the list of VMs names none, or
    /// one that it does not list as a worker.
    fn worker_next_to(&self, slowdown: &RunnerSlowdown, now: MonoTime) -> Option<WorkerName> {
        let vms = self.context.vms.load();
        let runner = slowdown.runner.as_str();
        let reason = match vms.shared_worker(runner) {
            SharedWorker::Unknown => return None,
            SharedWorker::Named(worker) if vms.lists_worker(worker.as_str()) => {
                return Some(worker);
            }
            SharedWorker::Named(worker) => format!("no worker {worker} is listed"),
            SharedWorker::Invalid(reason) => reason,
        };
        if let Some(repeats) = self.log_limiter.try_acquire(now) {
            warn!(
                step = "find worker beside runner",
                runner, reason, repeats, "ignored"
            );
        }
        None
    }
}
