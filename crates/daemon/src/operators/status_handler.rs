//! Handles the calls about the daemon itself.

use serde_json::Value;
use serde_json::json;

use crate::cells::CellDump;
use crate::context::DaemonContext;
use crate::serving::HttpReply;
use sapphirestile_cells::TaskEntry;
use sapphirestile_core::CellNumber;
use sapphirestile_core::OperatorDocument;
use sapphirestile_core::SortedTable;
use sapphirestile_wire::api::DaemonPhase;
use sapphirestile_wire::api::DaemonStatus;
use sapphirestile_wire::api::MemberStatus;
use sapphirestile_wire::api::OwnedCell;
use sapphirestile_wire::api::QueueStatus;
use sapphirestile_wire::api::ServiceStatus;
use sapphirestile_wire::api::VmListing;
use sapphirestile_wire::api::ZoneStatus;
use sapphirestile_wire::peer::MemberState;

/// Handles the calls that show the state of the daemon.
pub struct StatusHandler<'c> {
    context: &'c DaemonContext,
}

impl<'c> StatusHandler<'c> {
    pub const fn new(context: &'c DaemonContext) -> Self {
        Self { context }
    }

    pub fn status(&self) -> HttpReply {
        HttpReply::json(200, &self.daemon_status())
    }

    pub fn vms(&self) -> HttpReply {
        let vms = self.context.vms.load();
        let now = self.context.clock.now();
        let age_ms = vms
            .read_at()
            .map_or(u64::MAX, |read| now.millis_since(read));
        HttpReply::json(
            200,
            &VmListing {
                age_ms,
                vms: vms.records().cloned().collect(),
            },
        )
    }

    pub fn dump(&self) -> HttpReply {
        let dumps = self.cell_dumps();
        let runners = self.runners();
        let document = self.context.document.load().view();
        let value = json!({
            "status": self.daemon_status(),
            "document": document,
            "runners": runners,
            "cells": dumps,
            "refusals": self.context.refusals.records(),
        });
        HttpReply::json(200, &value)
    }

    pub fn metrics(&self) -> HttpReply {
        let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
        HttpReply::new(
            200,
            content_type,
            self.context.metrics.encode(self.context).into_bytes(),
        )
    }

    pub fn daemon_status(&self) -> DaemonStatus {
        let context = self.context;
        let document = context.document.load();
        let now = context.clock.now();
        let owned = context.cells.load().owned();
        let dumps = self.cell_dumps();
        DaemonStatus {
            daemon: context.identity.daemon.clone(),
            incarnation: context.identity.incarnation,
            zone: context.settings.node.zone.clone(),
            phase: phase_of(context.phase.get()),
            revision: document.revision(),
            store_reachable: context.store_reachable(now),
            cells: owned
                .into_iter()
                .map(|(cell, epoch)| OwnedCell { cell, epoch })
                .collect(),
            empty_cells: self.empty_cells(),
            members: self.members(),
            zones: zones_of(document.document()),
            services: self.services(document.document()),
            queues: dumps.iter().map(queue_of).collect(),
            pressures: dumps.into_iter().flat_map(|dump| dump.pressures).collect(),
        }
    }

    fn empty_cells(&self) -> Vec<CellNumber> {
        let vms = self.context.vms.load();
        let map = self.context.cell_map();
        map.map_or_else(Vec::new, |map| map.empty_cells(vms.worker_names()))
    }

    fn members(&self) -> Vec<MemberStatus> {
        let now = self.context.clock.now();
        let members = self.context.members.load();
        let own = &self.context.identity.daemon;
        let others = members.rows().filter(|(daemon, _)| *daemon != own);
        let rows = others.map(|(daemon, row)| MemberStatus {
            daemon: daemon.clone(),
            incarnation: row.incarnation,
            address: row.address,
            silent_ms: row.silent_ms(now),
        });
        rows.collect()
    }

    fn services(&self, document: &OperatorDocument) -> Vec<ServiceStatus> {
        let routes = self.context.routes.load();
        let mut services = SortedTable::new();
        for service in document.services.keys() {
            let status = ServiceStatus {
                service: service.clone(),
                runners: 0,
                tokens: 0,
                in_flight: 0,
            };
            services.insert(service.clone(), status);
        }
        for row in routes.rows() {
            if let Some(status) = services.get_mut(row.service.as_str()) {
                status.runners += 1;
                status.tokens += u64::from(row.gauge.tokens());
                status.in_flight += u64::from(row.gauge.in_flight());
            }
        }
        services.values().cloned().collect()
    }

    fn runners(&self) -> Vec<Value> {
        let routes = self.context.routes.load();
        let rows = routes.rows().map(|row| {
            json!({
                "runner": row.runner,
                "service": row.service,
                "zone": row.zone,
                "leaving": row.leaving,
                "standing": format!("{:?}", row.gauge.state()),
                "tokens": row.gauge.tokens(),
                "in_flight": row.gauge.in_flight(),
                "latency_us": row.gauge.latency_us(),
                "failures": row.gauge.failures(),
            })
        });
        rows.collect()
    }

    fn cell_dumps(&self) -> Vec<CellDump> {
        let cells = self.context.cells.load();
        cells
            .iter()
            .filter_map(|(_, handle)| handle.dump())
            .collect()
    }
}

const fn phase_of(state: MemberState) -> DaemonPhase {
    match state {
        MemberState::Starting => DaemonPhase::Starting,
        MemberState::Serving => DaemonPhase::Serving,
        MemberState::Draining => DaemonPhase::Draining,
    }
}

fn zones_of(document: &OperatorDocument) -> Vec<ZoneStatus> {
    let zones = document.zones.iter().map(|(zone, entry)| ZoneStatus {
        zone: zone.clone(),
        region: entry.region.clone(),
        state: entry.state,
    });
    zones.collect()
}

fn queue_of(dump: &CellDump) -> QueueStatus {
    let tasks = dump.state.tasks().values();
    let (mut waiting, mut running) = (0, 0);
    for entry in tasks {
        match entry {
            TaskEntry::Waiting(_) => waiting += 1,
            TaskEntry::Assigned(_) => running += 1,
            TaskEntry::Ended(_) => {}
        }
    }
    QueueStatus {
        cell: dump.cell,
        waiting,
        running,
        throttled: dump.throttles.len() as u64,
    }
}
