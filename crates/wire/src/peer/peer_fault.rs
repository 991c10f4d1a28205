//! Why a call to a peer failed.

use serde::Deserialize;
use serde::Serialize;

/// Why a call to a peer failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerFault {
    /// The peer does not own the cell; nothing was done.
    NotOwner,
    /// Nothing was done, for this reason.
    NotRun(String),
    /// Whether it was done is not known.
    Unknown,
    /// There is no such job.
    UnknownJob,
}

impl std::fmt::Display for PeerFault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotOwner => formatter.write_str("the peer does not own the cell"),
            Self::NotRun(reason) => write!(formatter, "not run: {reason}"),
            Self::Unknown => formatter.write_str("the outcome is unknown"),
            Self::UnknownJob => formatter.write_str("there is no such job"),
        }
    }
}

impl std::error::Error for PeerFault {}
