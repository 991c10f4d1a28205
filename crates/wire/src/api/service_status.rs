//! The state of a service.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::ServiceName;

/// One service as the answering daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// The service.
    pub service: ServiceName,
    /// Runners known.
    pub runners: u32,
    /// Slots of runners that the daemon may use.
    pub tokens: u64,
    /// Requests of the daemon in flight.
    pub in_flight: u64,
}
