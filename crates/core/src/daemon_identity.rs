//! The identity of one daemon process.

use serde::Deserialize;
use serde::Serialize;

use crate::DaemonName;
use crate::IncarnationNumber;

/// The identity of one daemon process: the daemon's name and its incarnation.
///
/// A restarted daemon keeps its name and gets a new incarnation.
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
    /// The name of the daemon, which stays the same across restarts.
    pub daemon: DaemonName,
    /// The incarnation, which is new after each restart.
    pub incarnation: IncarnationNumber,
}

impl std::fmt::Display for DaemonIdentity {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}#{}", self.daemon, self.incarnation)
    }
}
