//! The life cycle phase of a daemon.

use serde::Deserialize;
use serde::Serialize;

/// The life cycle phase of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DaemonPhase {
    /// Starting up; not serving yet.
    Starting,
    /// Serving.
    Serving,
    /// Finishing the requests in flight; new ones are refused.
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
