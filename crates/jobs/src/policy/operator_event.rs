//! What operators changed.

use sapphirestile_core::ZoneName;

use crate::policy::DeployedConfig;

/// A change that operators made.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorEvent {
    /// A configuration came into force.
    Configured(DeployedConfig),
    /// An availability zone is to get no new tasks.
    ZoneOut(ZoneName),
    /// An availability zone takes tasks again.
    ZoneBack(ZoneName),
}
