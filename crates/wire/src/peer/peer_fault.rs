//! Failures of calls between daemons.

use serde::Deserialize;
use serde::Serialize;

/// Why a call to a peer failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerFault {
    /// The peer does not own the cell; nothing was done.
    NotOwner,
    /// Nothing was done, for the given reason.
    NotRun(String),
    /// Whether the call took effect is unknown.
    Unknown,
    /// No job has the given name.
    UnknownJob,
}

impl std::fmt::Display for PeerFault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotOwner => formatter.write_str("the peer does not own the cell"),
            Self::NotRun(reason) => write!(formatter, "not run: {reason}"),
            Self::Unknown => formatter.write_str("the outcome is unknown"),
            Self::UnknownJob => formatter.write_str("no job has the given name"),
        }
    }
}

impl std::error::Error for PeerFault {}
