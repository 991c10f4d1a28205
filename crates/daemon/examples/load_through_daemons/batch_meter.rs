//! What batch tasks take of the processors.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use sapphirestile_standins::worker::WorkerService;
use sapphirestile_standins::worker::WorkerStandin;

const LOOK_INTERVAL: Duration = Duration::from_millis(100);
const CORE_MILLI: f64 = 1_000.0;

/// Adds up what batch tasks take of the processors of workers.
pub struct BatchMeter<'w> {
    workers: &'w [WorkerStandin],
}

impl<'w> BatchMeter<'w> {
    /// A meter of these workers.
    pub const fn new(workers: &'w [WorkerStandin]) -> Self {
        Self { workers }
    }

    /// Looks several times a second until `ended`; the time taken in core seconds.
    pub fn run(&self, ended: &AtomicBool) -> f64 {
        let mut core_seconds = 0.0;
        let mut looked = Instant::now();
        while !ended.load(Ordering::Relaxed) {
            std::thread::sleep(LOOK_INTERVAL);
            let taken = self.workers.iter().map(WorkerStandin::service);
            let taken: u64 = taken.map(WorkerService::used_cpu_milli).sum();
            let cores = f64::from(u32::try_from(taken).unwrap_or(u32::MAX)) / CORE_MILLI;
            core_seconds += cores * looked.elapsed().as_secs_f64();
            looked = Instant::now();
        }
        core_seconds
    }
}
