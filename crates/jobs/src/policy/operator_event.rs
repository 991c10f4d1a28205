//! Changes made by operators.

use sapphirestile_core::ZoneName;

use crate::policy::DeployedConfig;

/// A change made by operators.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorEvent {
    /// A configuration was deployed.
    Configured(DeployedConfig),
    /// An availability zone must get no new tasks.
    ZoneOut(ZoneName),
    /// An availability zone may get new tasks again.
    ZoneBack(ZoneName),
}
