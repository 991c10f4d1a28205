//! The status of a service.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::ServiceName;

/// A service, as the answering daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// The name of the service.
    pub service: ServiceName,
    /// The number of known runners of the service.
    pub runners: u32,
    /// The number of runner slots that the daemon may use.
    pub tokens: u64,
    /// The number of requests that the daemon has in flight.
    pub in_flight: u64,
}
