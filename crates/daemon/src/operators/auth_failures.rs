//! The wrong tokens of one client.

use sapphirestile_core::MonoTime;

/// The number of wrong tokens that a client has sent in its current window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AuthFailures {
    /// The start of the window, which is the time of its first failure.
    pub started: MonoTime,
    /// The number of failures in the window.
    pub failures: u32,
    /// The end of the pause; not after the current time if the client is not paused.
    pub paused_until: MonoTime,
}

impl AuthFailures {
    /// A window that starts at `now`, without failures and without a pause.
    pub const fn start(now: MonoTime) -> Self {
        Self {
            started: now,
            failures: 0,
            paused_until: now,
        }
    }
}
