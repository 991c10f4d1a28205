//! Reports of a member's tokens and demand.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::ServiceName;
use sapphirestile_core::ZoneName;

/// The runner tokens that a member holds, and its demand for them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenReport {
    /// The generation of the ledger that the report is based on.
    pub generation: u64,
    /// The member's zone, sent so that all members plan from the same data.
    pub zone: ZoneName,
    /// The member's demand for each service, in thousandths of a request.
    pub weights: Vec<(ServiceName, u32)>,
    /// The number of tokens held of each runner, in the order of the ledger.
    pub tokens: Vec<u32>,
}
