//! The gauges of all runners by name.

use std::sync::Arc;

use crate::RunnerGauge;
use sapphirestile_core::RunnerName;
use sapphirestile_core::SortedTable;

/// The gauges of all runners, owned by the thread that publishes routing tables.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
///
/// use sapphirestile_core::RunnerName;
/// use sapphirestile_routing::GaugeRegistry;
///
/// let mut registry = GaugeRegistry::default();
/// let runner = RunnerName::try_from("runner-1").unwrap();
/// let gauge = registry.gauge_of(&runner);
/// assert!(Arc::ptr_eq(&gauge, &registry.gauge_of(&runner)));
/// ```
#[derive(Debug, Default)]
pub struct GaugeRegistry {
    gauges: SortedTable<RunnerName, Arc<RunnerGauge>>,
}

impl GaugeRegistry {
    /// The gauge of `runner`, which is created on first use.
    pub fn gauge_of(&mut self, runner: &RunnerName) -> Arc<RunnerGauge> {
        if let Some(gauge) = self.gauges.get(runner) {
            return Arc::clone(gauge);
        }
        let gauge = Arc::new(RunnerGauge::new());
        self.gauges.insert(runner.clone(), Arc::clone(&gauge));
        gauge
    }

    /// The gauges in the order of runner names.
    #[must_use]
    pub fn iter(&self) -> impl ExactSizeIterator<Item = (&RunnerName, &Arc<RunnerGauge>)> {
        self.gauges.iter()
    }

    /// Removes the gauges of runners for which `keep` returns `false`, unless they have
    /// tokens or requests in flight.
    pub fn retain(&mut self, keep: impl Fn(&RunnerName) -> bool) {
        self.gauges
            .retain(|runner, gauge| keep(runner) || gauge.occupancy() != (0, 0));
    }
}
