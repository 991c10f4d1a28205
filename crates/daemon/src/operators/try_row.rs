//! The wrong tokens of one peer.

use sapphirestile_core::MonoTime;

/// How often a peer has offered a wrong token lately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TryRow {
    /// When the first of the failures was.
    pub began: MonoTime,
    /// How many there were since.
    pub failures: u32,
    /// Until when the peer is refused unheard; passed when it is not.
    pub paused_until: MonoTime,
}

impl TryRow {
    /// A peer without a failure.
    pub const fn begin(now: MonoTime) -> Self {
        Self {
            began: now,
            failures: 0,
            paused_until: now,
        }
    }
}
