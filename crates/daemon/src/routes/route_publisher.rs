//! Publishes the routing table.

use std::sync::Arc;

use crate::context::DaemonContext;
use sapphirestile_core::OperatorDocument;
use sapphirestile_core::RunnerName;
use sapphirestile_core::ServiceName;
use sapphirestile_routing::GaugeRegistry;
use sapphirestile_routing::RoutingTable;
use sapphirestile_routing::RunnerGauge;
use sapphirestile_routing::RunnerRow;
use sapphirestile_wire::vms::VmKind;
use sapphirestile_wire::vms::VmRecord;
use sapphirestile_wire::vms::VmState;

/// Makes and publishes routing tables; the only writer of a daemon.
pub struct RoutePublisher {
    context: Arc<DaemonContext>,
    gauges: GaugeRegistry,
}

impl RoutePublisher {
    /// A publisher for one daemon.
    #[must_use]
    pub fn new(context: Arc<DaemonContext>) -> Self {
        Self {
            context,
            gauges: GaugeRegistry::default(),
        }
    }

    /// Publishes the table that follows from what is known now.
    pub fn publish(&mut self) {
        let context = Arc::clone(&self.context);
        let document = context.document.load();
        let document = document.document();
        let vms = context.vms.load();
        let mut rows = Vec::new();
        for record in vms.records().filter(|record| record.kind == VmKind::Runner) {
            rows.extend(self.row_of(record, document));
        }
        let kept = |runner: &RunnerName| rows.iter().any(|row| row.runner == *runner);
        self.gauges.retain(kept);
        let home = context.settings.node.zone.as_str();
        context
            .routes
            .publish(RoutingTable::new(document, home, rows));
    }

    fn row_of(&mut self, record: &VmRecord, document: &OperatorDocument) -> Option<RunnerRow> {
        let runner = RunnerName::try_from(record.name.as_str()).ok()?;
        let service: ServiceName = record.service.clone()?;
        let address = record.address.parse().ok()?;
        let slots = document.services.get(service.as_str())?.slots;
        let gauge = self.gauges.gauge_of(&runner);
        hold_tokens(&gauge, self.share_of(slots, &runner));
        let zone = record.zone.clone();
        let leaving = record.state == VmState::Leaving;
        Some(RunnerRow {
            runner,
            zone,
            address,
            service,
            leaving,
            gauge,
        })
    }

    /// This daemon's part of a runner's slots.
    fn share_of(&self, slots: u32, runner: &RunnerName) -> u32 {
        let members = self.context.members.load();
        let own = self.context.mark.daemon.as_str();
        let count = u32::try_from(members.rows().len())
            .unwrap_or(u32::MAX)
            .max(1);
        let place = members
            .rows()
            .position(|(daemon, _)| daemon.as_str() == own);
        let Some(place) = place.and_then(|place| u32::try_from(place).ok()) else {
            return 0;
        };
        let turn = runner
            .as_str()
            .bytes()
            .fold(0, |sum, byte| sum + u32::from(byte));
        let extra = (place + turn) % count < slots % count;
        slots / count + u32::from(extra)
    }
}

fn hold_tokens(gauge: &RunnerGauge, share: u32) {
    let held = gauge.tokens();
    if share > held {
        gauge.add_tokens(share - held);
    } else {
        let _removed = gauge.remove_free_tokens(held - share);
    }
}
