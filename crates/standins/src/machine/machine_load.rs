//! The processor time that batch tasks take on a machine.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

const CORE_MILLI: u64 = 1_000;

/// The processor time that batch tasks take on a machine.
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
/// assert_eq!(load.clone().added_time(200), Duration::from_micros(300));
/// ```
#[derive(Clone, Debug, Default)]
pub struct MachineLoad {
    taken_cpu_milli: Arc<AtomicU64>,
}

impl MachineLoad {
    /// Takes note of what tasks take, in thousandths of a core.
    pub fn set(&self, taken_cpu_milli: u64) {
        self.taken_cpu_milli
            .store(taken_cpu_milli, Ordering::Relaxed);
    }

    /// How much longer a request runs when each core that tasks take costs it
    /// `core_us` microseconds.
    #[must_use]
    pub fn added_time(&self, core_us: u64) -> Duration {
        let taken = self.taken_cpu_milli.load(Ordering::Relaxed);
        Duration::from_micros(taken.saturating_mul(core_us) / CORE_MILLI)
    }
}
