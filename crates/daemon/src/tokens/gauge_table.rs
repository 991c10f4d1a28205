//! The gauge of each runner, shared by two threads.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use sapphirestile_core::RunnerName;
use sapphirestile_routing::GaugeRegistry;
use sapphirestile_routing::RunnerGauge;
use sapphirestile_slots::TokenGauges;

/// The [`RunnerGauge`] of each runner, shared by the thread that publishes routing tables
/// and the one that owns the tokens. Requests reach the gauges through the routing table
/// only, so they never take this table's lock.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::RunnerName;
/// use sapphirestile_daemon::tokens::GaugeTable;
/// use sapphirestile_slots::TokenGauges;
///
/// let runner = RunnerName::try_from("runner-1").unwrap();
/// let table = GaugeTable::default();
/// table.add(&runner, 3);
/// assert_eq!(table.remove_free(&runner, 8), 3);
/// ```
#[derive(Debug, Default)]
pub struct GaugeTable {
    gauges: Mutex<GaugeRegistry>,
}

impl GaugeTable {
    /// Returns the gauge of a runner; creates it on first use.
    #[must_use]
    pub fn gauge_of(&self, runner: &RunnerName) -> Arc<RunnerGauge> {
        self.lock().gauge_of(runner)
    }

    /// Removes idle gauges of runners for which `keep` returns `false`.
    pub fn retain(&self, keep: impl Fn(&RunnerName) -> bool) {
        self.lock().retain(keep);
    }

    fn lock(&self) -> MutexGuard<'_, GaugeRegistry> {
        self.gauges.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TokenGauges for GaugeTable {
    fn add(&self, runner: &RunnerName, count: u32) {
        self.gauge_of(runner).add_tokens(count);
    }

    fn remove_free(&self, runner: &RunnerName, most: u32) -> u32 {
        self.gauge_of(runner).remove_free_tokens(most)
    }
}
