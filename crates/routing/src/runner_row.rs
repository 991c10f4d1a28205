//! A row of the routing table.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::RunnerGauge;
use sapphirestile_core::RunnerName;
use sapphirestile_core::ServiceName;
use sapphirestile_core::ZoneName;

/// One runner of a service.
#[derive(Clone, Debug)]
#[repr(align(128))]
pub struct RunnerRow {
    /// The runner.
    pub runner: RunnerName,
    /// The zone that it lies in.
    pub zone: ZoneName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The service that it runs.
    pub service: ServiceName,
    /// Whether it is leaving and takes no new request.
    pub leaving: bool,
    /// Its counts, kept across tables.
    pub gauge: Arc<RunnerGauge>,
}
