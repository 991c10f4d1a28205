//! Time within which a start may be sent.

use sapphirestile_core::MonoTime;

/// How long a start may be queued behind others, in milliseconds.
const START_WAIT_MAX_MS: u64 = 400;

/// Time within which a queued start may be sent. Later the state that it was planned from may
/// have changed. It runs out while the VM is suspended, too, as the clock goes on.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_entry::StartWindow;
///
/// let window = StartWindow::begin(MonoTime::from_millis(1_000));
/// assert!(window.is_open(MonoTime::from_millis(1_400)));
/// assert!(!window.is_open(MonoTime::from_millis(1_401)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct StartWindow {
    queued: MonoTime,
}

impl StartWindow {
    /// The window of a start that is queued at `now`.
    #[must_use]
    pub const fn begin(now: MonoTime) -> Self {
        Self { queued: now }
    }

    /// Whether the start may be sent at `now`.
    #[must_use]
    pub const fn is_open(&self, now: MonoTime) -> bool {
        now.millis_since(self.queued) <= START_WAIT_MAX_MS
    }
}
