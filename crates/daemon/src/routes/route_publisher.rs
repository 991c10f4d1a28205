//! Publishes the routing table.

use std::sync::Arc;

use crate::context::DaemonContext;
use sapphirestile_core::OperatorDocument;
use sapphirestile_core::RunnerName;
use sapphirestile_core::ServiceName;
use sapphirestile_core::SortedTable;
use sapphirestile_routing::EjectionPolicy;
use sapphirestile_routing::RoutingTable;
use sapphirestile_routing::RunnerRow;
use sapphirestile_wire::vms::VmKind;
use sapphirestile_wire::vms::VmRecord;
use sapphirestile_wire::vms::VmState;

/// Makes and publishes the routing table. It is the only writer of the table in a daemon.
pub struct RoutePublisher {
    context: Arc<DaemonContext>,
    ejection: SortedTable<ServiceName, EjectionPolicy>,
}

impl RoutePublisher {
    /// Creates a publisher to the routing table of `context`.
    #[must_use]
    pub const fn new(context: Arc<DaemonContext>) -> Self {
        Self {
            context,
            ejection: SortedTable::new(),
        }
    }

    /// Publishes a table made from the current list of VMs and document. Ejects and restores
    /// runners, and removes the gauges of runners that are no longer listed.
    pub fn publish(&mut self) {
        let context = Arc::clone(&self.context);
        let document = context.document.load();
        let document = document.document();
        let vms = context.vms.load();
        let mut rows = Vec::new();
        for record in vms.records().filter(|record| record.kind == VmKind::Runner) {
            rows.extend(self.row_of(record, document));
        }
        self.update_ejections(&rows);
        let mut names: Vec<&RunnerName> = rows.iter().map(|row| &row.runner).collect();
        names.sort();
        let is_listed = |runner: &RunnerName| names.binary_search(&runner).is_ok();
        context.gauges.retain(is_listed);
        let own_zone = context.settings.node.zone.as_str();
        context
            .routes
            .publish(RoutingTable::new(document, own_zone, rows));
    }

    /// Ejects slow and failing runners from each service, and restores those that recovered.
    fn update_ejections(&mut self, rows: &[RunnerRow]) {
        let now = self.context.clock.now();
        let mut services: Vec<&ServiceName> = rows.iter().map(|row| &row.service).collect();
        services.sort();
        services.dedup();
        for service in services {
            let of_service = rows.iter().filter(|row| row.service == *service);
            let policy = self
                .ejection
                .get_or_insert_with(service.clone(), Default::default);
            policy.evaluate(&of_service.collect::<Vec<_>>(), now);
        }
    }

    /// The row of a runner; `None` when its name or address is invalid, or the document does
    /// not have its service.
    fn row_of(&self, record: &VmRecord, document: &OperatorDocument) -> Option<RunnerRow> {
        let runner = RunnerName::try_from(record.name.as_str()).ok()?;
        let service: ServiceName = record.service.clone()?;
        let address = record.address.parse().ok()?;
        document.services.get(service.as_str())?;
        let gauge = self.context.gauges.gauge_of(&runner);
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
}
