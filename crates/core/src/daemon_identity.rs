//! One life of a daemon.

use serde::Deserialize;
use serde::Serialize;

use crate::DaemonName;
use crate::IncarnationNumber;

/// One life of a daemon: its name and its incarnation.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::DaemonIdentity;
/// use sapphirestile_core::DaemonName;
/// use sapphirestile_core::IncarnationNumber;
///
/// let daemon = DaemonName::try_from("entry-1").unwrap();
/// let identity = DaemonIdentity { daemon, incarnation: IncarnationNumber::new(7) };
/// assert_eq!(identity.to_string(), "entry-1#7");
/// ```
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
