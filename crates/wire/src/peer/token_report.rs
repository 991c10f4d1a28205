//! What a member holds and wants of the runners.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::ServiceName;
use sapphirestile_core::ZoneName;

/// The tokens that a member holds, and its demand.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenReport {
    /// The generation of the ledger that the member goes by.
    pub generation: u64,
    /// Where the member lies, so that all plan from the same.
    pub zone: ZoneName,
    /// The member's demand for each service, in thousandths of a request.
    pub weights: Vec<(ServiceName, u32)>,
    /// Its tokens of each runner, in the order of the ledger.
    pub tokens: Vec<u32>,
}
