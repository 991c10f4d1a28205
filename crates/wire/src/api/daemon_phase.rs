//! How far a daemon is in its life.

use serde::Deserialize;
use serde::Serialize;

/// The phase of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DaemonPhase {
    /// It does not serve yet.
    Starting,
    /// It serves.
    Serving,
    /// It finishes what is in flight and takes nothing new.
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
