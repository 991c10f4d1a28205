//! The CPU time that batch tasks use on a machine.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

const CORE_MILLI: u64 = 1_000;

/// The CPU time that batch tasks use on a machine. Clones share the same value.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use sapphirestile_standins::machine::MachineLoad;
///
/// let load = MachineLoad::default();
/// load.set(1_500);
/// assert_eq!(load.clone().added_run_time(200), Duration::from_micros(300));
/// ```
#[derive(Clone, Debug, Default)]
pub struct MachineLoad {
    used_cpu_milli: Arc<AtomicU64>,
}

impl MachineLoad {
    /// Sets the CPU time that batch tasks use, in thousandths of a core. Called by the worker
    /// after each of its requests.
    pub fn set(&self, used_cpu_milli: u64) {
        self.used_cpu_milli.store(used_cpu_milli, Ordering::Relaxed);
    }

    /// How much longer a request runs when each core used by batch tasks delays it by
    /// `us_per_core` microseconds.
    #[must_use]
    pub fn added_run_time(&self, us_per_core: u64) -> Duration {
        let used = self.used_cpu_milli.load(Ordering::Relaxed);
        Duration::from_micros(used.saturating_mul(us_per_core) / CORE_MILLI)
    }
}
