//! The life cycle phase of a daemon.

use serde::Deserialize;
use serde::Serialize;

/// The phase of a daemon's life cycle, in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DaemonPhase {
    /// The daemon does not yet claim cells or accept callers.
    Starting,
    /// The daemon claims cells and accepts callers.
    Serving,
    /// The daemon finishes the requests in flight and refuses new ones; it stops afterwards.
    Draining,
}

impl std::fmt::Display for DaemonPhase {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Starting => "starting",
            Self::Serving => "serving",
            Self::Draining => "draining",
        })
    }
}
