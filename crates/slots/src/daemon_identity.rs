//! One life of a daemon.

use sapphirestile_core::DaemonName;
use sapphirestile_core::IncarnationNumber;
use serde::Deserialize;
use serde::Serialize;

/// One life of a daemon: its name and its incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DaemonIdentity {
    /// The daemon.
    pub daemon: DaemonName,
    /// Its life.
    pub incarnation: IncarnationNumber,
}

impl std::fmt::Display for DaemonIdentity {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}#{}", self.daemon, self.incarnation)
    }
}
