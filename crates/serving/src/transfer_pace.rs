//! How fast a body has to arrive.

use sapphirestile_core::MonoTime;

const GRACE_MS: u64 = 10_000;
const LEAST_BYTES_PER_S: u64 = 4_096;
const MS_PER_S: u64 = 1_000;

/// Judges whether a body arrives fast enough: as a whole within its limit and,
/// after ten seconds, at 4 KiB a second on average.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_serving::TransferPace;
///
/// let mut pace = TransferPace::begin(MonoTime::from_millis(0), 60_000);
/// pace.add_bytes(100_000);
/// assert!(pace.is_kept(MonoTime::from_millis(20_000)));
/// assert!(!pace.is_kept(MonoTime::from_millis(30_000)));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransferPace {
    began: MonoTime,
    whole_max_ms: u64,
    received_bytes: u64,
}

impl TransferPace {
    /// The pace of a body that begins at `began` and may take `whole_max_ms`.
    #[must_use]
    pub const fn begin(began: MonoTime, whole_max_ms: u64) -> Self {
        Self {
            began,
            whole_max_ms,
            received_bytes: 0,
        }
    }

    /// Takes note of bytes that have arrived.
    pub const fn add_bytes(&mut self, bytes: u64) {
        self.received_bytes = self.received_bytes.saturating_add(bytes);
    }

    /// Whether the body has arrived fast enough until `now`.
    #[must_use]
    pub const fn is_kept(&self, now: MonoTime) -> bool {
        let elapsed_ms = now.millis_since(self.began);
        if elapsed_ms > self.whole_max_ms {
            return false;
        }
        let least_bytes = elapsed_ms.saturating_mul(LEAST_BYTES_PER_S) / MS_PER_S;
        elapsed_ms <= GRACE_MS || self.received_bytes >= least_bytes
    }
}
