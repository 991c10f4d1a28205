//! A row of the routing table.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::RunnerGauge;
use sapphirestile_core::RunnerName;
use sapphirestile_core::ServiceName;
use sapphirestile_core::ZoneName;

/// One runner of a service, a row of the routing table.
#[derive(Clone, Debug)]
#[repr(align(128))]
pub struct RunnerRow {
    /// The runner's name, by which the routing table finds the row.
    pub runner: RunnerName,
    /// The zone that the runner is in.
    pub zone: ZoneName,
    /// The address at which the runner accepts requests.
    pub address: SocketAddr,
    /// The service whose requests the runner runs.
    pub service: ServiceName,
    /// Whether the runner is about to leave and must get no new requests.
    pub leaving: bool,
    /// The runner's gauge, which is kept when the table is replaced.
    pub gauge: Arc<RunnerGauge>,
}
