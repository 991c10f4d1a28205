//! Minimum transfer rate of a body.

use sapphirestile_core::MonoTime;

const GRACE_MS: u64 = 10_000;
const MIN_BYTES_PER_S: u64 = 4_096;
const MS_PER_S: u64 = 1_000;

/// Checks that a body arrives within its timeout and, after a grace period of ten
/// seconds, at an average of at least 4 KiB per second.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_serving::MinTransferRate;
///
/// let mut rate = MinTransferRate::start(MonoTime::from_millis(0), 60_000);
/// rate.add_bytes(100_000);
/// assert!(rate.is_met(MonoTime::from_millis(20_000)));
/// assert!(!rate.is_met(MonoTime::from_millis(30_000)));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MinTransferRate {
    started: MonoTime,
    timeout_ms: u64,
    received_bytes: u64,
}

impl MinTransferRate {
    /// Starts the check of a body at `started`, which may take `timeout_ms` in all.
    #[must_use]
    pub const fn start(started: MonoTime, timeout_ms: u64) -> Self {
        Self {
            started,
            timeout_ms,
            received_bytes: 0,
        }
    }

    /// Adds bytes that have arrived.
    pub const fn add_bytes(&mut self, bytes: u64) {
        self.received_bytes = self.received_bytes.saturating_add(bytes);
    }

    /// Whether the body meets its timeout and minimum rate at `now`.
    #[must_use]
    pub const fn is_met(&self, now: MonoTime) -> bool {
        let elapsed_ms = now.millis_since(self.started);
        if elapsed_ms > self.timeout_ms {
            return false;
        }
        let min_bytes = elapsed_ms.saturating_mul(MIN_BYTES_PER_S) / MS_PER_S;
        elapsed_ms <= GRACE_MS || self.received_bytes >= min_bytes
    }
}
