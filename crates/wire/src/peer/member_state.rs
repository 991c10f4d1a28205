//! The life cycle state of a daemon, as it tells its peers.

use serde::Deserialize;
use serde::Serialize;

/// Whether a daemon takes ownership of cells and accepts callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// The daemon does not do so yet.
    Starting,
    /// The daemon does so.
    Serving,
    /// The daemon no longer does so: it is stopping and releases its cells and tokens.
    Draining,
}
