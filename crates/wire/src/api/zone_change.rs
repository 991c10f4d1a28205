//! A change of a zone.

use serde::Deserialize;
use serde::Serialize;

use crate::api::AuthorName;
use sapphirestile_core::ZoneState;

/// Body of `POST /v1/zones/{zone}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneChange {
    /// What the zone shall be.
    pub state: ZoneState,
    /// Who asks for the change.
    pub author: AuthorName,
}
