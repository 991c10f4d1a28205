//! The life cycle state of a daemon, as it tells its peers.

use serde::Deserialize;
use serde::Serialize;

/// Whether a daemon takes ownership of cells and accepts callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// Not yet.
    Starting,
    /// Yes.
    Serving,
    /// No longer; it is releasing what it holds.
    Draining,
}
