//! What the console shows.

use sapphirestile_wire::api::DaemonStatus;
use sapphirestile_wire::api::DocumentView;
use sapphirestile_wire::api::OperatorToken;
use sapphirestile_wire::api::RecordedChange;

/// What the console shows and checks against, as of one request.
#[derive(Clone, Copy, Debug)]
pub struct ConsoleState<'s> {
    /// The document in force.
    pub view: &'s DocumentView,
    /// The latest changes, the newest first.
    pub recent: &'s [RecordedChange],
    /// The state of the daemon.
    pub status: &'s DaemonStatus,
    /// The operators' token.
    pub token: &'s OperatorToken,
    /// The time, in milliseconds since 1970 UTC.
    pub now_unix_ms: u64,
}
