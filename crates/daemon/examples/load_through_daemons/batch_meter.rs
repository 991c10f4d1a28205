//! CPU usage of batch tasks.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use sapphirestile_standins::worker::WorkerService;
use sapphirestile_standins::worker::WorkerStandin;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
const CORE_MILLI: f64 = 1_000.0;

/// Integrates the CPU usage of all batch tasks over time.
pub struct BatchMeter<'w> {
    workers: &'w [WorkerStandin],
}

impl<'w> BatchMeter<'w> {
    /// Creates a meter for the tasks on `workers`.
    pub const fn new(workers: &'w [WorkerStandin]) -> Self {
        Self { workers }
    }

    /// Samples the usage every `SAMPLE_INTERVAL` until `ended` is set. Returns the CPU time used
    /// in core seconds.
    pub fn run(&self, ended: &AtomicBool) -> f64 {
        let mut core_seconds = 0.0;
        let mut sampled = Instant::now();
        while !ended.load(Ordering::Relaxed) {
            std::thread::sleep(SAMPLE_INTERVAL);
            let used_milli = self.workers.iter().map(WorkerStandin::service);
            let used_milli: u64 = used_milli.map(WorkerService::used_cpu_milli).sum();
            let cores = f64::from(u32::try_from(used_milli).unwrap_or(u32::MAX)) / CORE_MILLI;
            core_seconds += cores * sampled.elapsed().as_secs_f64();
            sampled = Instant::now();
        }
        core_seconds
    }
}
