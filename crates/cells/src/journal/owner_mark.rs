//! One life of a daemon, as a journal names it.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::DaemonName;
use sapphirestile_core::IncarnationNumber;

/// A daemon and its incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OwnerMark {
    /// The daemon.
    pub daemon: DaemonName,
    /// Which of its lives.
    pub incarnation: IncarnationNumber,
}

impl std::fmt::Display for OwnerMark {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}#{}", self.daemon, self.incarnation)
    }
}
