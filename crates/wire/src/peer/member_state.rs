//! How far a daemon's life has come, as its peers see it.

use serde::Deserialize;
use serde::Serialize;

/// Whether a daemon takes cells and callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// It does not yet.
    Starting,
    /// It does.
    Serving,
    /// It gives up what it holds.
    Draining,
}
