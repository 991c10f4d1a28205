//! Measures by how much requests are slowed beside each worker.

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::RecvTimeoutError;
use tracing::warn;

use crate::colocation::SlowdownSender;
use crate::colocation::WorkerSum;
use crate::context::DaemonContext;
use crate::context::LogLimiter;
use sapphirestile_core::MonoTime;
use sapphirestile_core::ServiceName;
use sapphirestile_core::SortedTable;
use sapphirestile_core::WorkerName;
use sapphirestile_routing::RunnerRow;
use sapphirestile_routing::RunnerSlowdown;
use sapphirestile_routing::SlowdownMeter;
use sapphirestile_wire::vms::SharedWorker;

/// Undisturbed workers are told of in one round of so many: bytes are paid for.
const CALM_ROUNDS: u64 = 6;

/// Measures by how much requests are slowed beside each worker, every few seconds
/// and off the path of requests.
pub struct SlowdownObserver {
    context: Arc<DaemonContext>,
    sender: SlowdownSender,
    meters: SortedTable<ServiceName, SlowdownMeter>,
    log_limiter: LogLimiter,
    rounds: u64,
}

impl SlowdownObserver {
    /// An observer that tells through `sender`.
    #[must_use]
    pub fn new(context: Arc<DaemonContext>, sender: SlowdownSender) -> Self {
        Self {
            context,
            sender,
            meters: SortedTable::new(),
            log_limiter: LogLimiter::default(),
            rounds: 0,
        }
    }

    /// Measures until `stop` is closed.
    pub fn run(&mut self, stop: &Receiver<()>) {
        let interval = Duration::from_millis(self.context.settings.limits.slowdown_ms);
        while stop.recv_timeout(interval) == Err(RecvTimeoutError::Timeout) {
            self.observe(self.context.clock.now());
        }
    }

    fn observe(&mut self, now: MonoTime) {
        self.rounds += 1;
        let mut sums: SortedTable<WorkerName, WorkerSum> = SortedTable::new();
        for slowdown in self.measure(now) {
            if let Some(worker) = self.worker_beside(&slowdown, now) {
                sums.get_or_insert_with(worker, WorkerSum::default)
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
        let calm_round = self.rounds.is_multiple_of(CALM_ROUNDS);
        let rows = sums.iter().map(|(worker, sum)| sum.row(worker, now));
        let told =
            rows.filter(|row| calm_round || u64::from(row.slowdown_permille) >= low_permille);
        self.sender.send(told.collect(), now);
    }

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

    /// The worker on the machine of a runner, when the list of VMs names one.
    fn worker_beside(&self, slowdown: &RunnerSlowdown, now: MonoTime) -> Option<WorkerName> {
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
