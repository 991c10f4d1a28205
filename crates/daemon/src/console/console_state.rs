//! The state that the console shows.

use sapphirestile_wire::api::DaemonStatus;
use sapphirestile_wire::api::DocumentView;
use sapphirestile_wire::api::OperatorToken;
use sapphirestile_wire::api::RecordedChange;

/// The state that the console shows and checks forms against, read for one request.
#[derive(Clone, Copy, Debug)]
pub struct ConsoleState<'s> {
    /// The document in force.
    pub view: &'s DocumentView,
    /// The latest changes, newest first.
    pub recent: &'s [RecordedChange],
    /// The status of the daemon that serves the request.
    pub status: &'s DaemonStatus,
    /// The operators' token, which signs sessions and forms.
    pub token: &'s OperatorToken,
    /// The current time, in milliseconds since the Unix epoch.
    pub now_unix_ms: u64,
}
