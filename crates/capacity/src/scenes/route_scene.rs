//! Routing tables in any size.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use sapphirestile_core::OperatorDocument;
use sapphirestile_core::RunnerName;
use sapphirestile_core::ServiceName;
use sapphirestile_core::ZoneName;
use sapphirestile_routing::GaugeRegistry;
use sapphirestile_routing::RoutingTable;
use sapphirestile_routing::RunnerRow;

use crate::scenes::ZONES;
use crate::scenes::zone_text;

const PORT: u16 = 8_080;
const TOKENS: u32 = 8;

/// The rows of a routing table, with their gauges.
pub struct RouteScene {
    pub document: OperatorDocument,
    pub registry: GaugeRegistry,
    runners: usize,
}

impl RouteScene {
    pub fn build(runners: usize) -> Self {
        let mut scene = Self {
            document: OperatorDocument::try_from(zone_text().as_str()).expect("a valid document"),
            registry: GaugeRegistry::default(),
            runners,
        };
        for row in scene.rows() {
            row.gauge.add_tokens(TOKENS);
            row.gauge.record_answer(1_000);
        }
        scene
    }

    /// The rows as the publisher makes them each second.
    pub fn rows(&mut self) -> Vec<RunnerRow> {
        let places = 0..self.runners;
        places.map(|place| self.row(place)).collect()
    }

    /// The table of all rows.
    pub fn table(&mut self) -> RoutingTable {
        let rows = self.rows();
        RoutingTable::new(&self.document, ZONES[0], rows)
    }

    fn row(&mut self, place: usize) -> RunnerRow {
        let zone = ZONES[place % ZONES.len()];
        let runner = RunnerName::try_from(format!("runner-{place:05}")).expect("a valid name");
        RunnerRow {
            zone: ZoneName::try_from(zone).expect("a valid name"),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, PORT)),
            service: ServiceName::try_from("sizing").expect("a valid name"),
            leaving: false,
            gauge: self.registry.gauge_of(&runner),
            runner,
        }
    }
}
