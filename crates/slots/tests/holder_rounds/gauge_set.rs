//! Gauges of one simulated process.

use std::cell::RefCell;
use std::sync::Arc;

use sapphirestile_core::RunnerName;
use sapphirestile_routing::GaugeRegistry;
use sapphirestile_routing::RunnerGauge;
use sapphirestile_slots::TokenGauges;

/// The gauges of the routing crate as `TokenGauges`.
#[derive(Default)]
pub struct GaugeSet {
    registry: RefCell<GaugeRegistry>,
}

impl GaugeSet {
    pub fn gauge(&self, runner: &RunnerName) -> Arc<RunnerGauge> {
        self.registry.borrow_mut().gauge_of(runner)
    }
}

impl TokenGauges for GaugeSet {
    fn add(&self, runner: &RunnerName, count: u32) {
        self.gauge(runner).add_tokens(count);
    }

    fn remove_free(&self, runner: &RunnerName, most: u32) -> u32 {
        self.gauge(runner).remove_free_tokens(most)
    }
}
