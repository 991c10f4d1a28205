//! A request to change the state of a zone.

use serde::Deserialize;
use serde::Serialize;

use crate::api::AuthorName;
use sapphirestile_core::ZoneState;

/// Body of `POST /v1/zones/{zone}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneChange {
    /// The new state of the zone.
    pub state: ZoneState,
    /// The operator who makes the change.
    pub author: AuthorName,
}
