//! Detects a failed owner.

use crate::owner::ClaimDecision;
use crate::store::OwnershipRow;
use sapphirestile_core::MonoTime;

/// The owner counts as failed when the ownership row has not changed for this time, in
/// milliseconds. A live owner writes the row several times within it.
const OWNER_TIMEOUT_MS: u64 = 1_500;

/// The minimum number of reads within this time: a daemon that was suspended, or whose
/// reads failed, has observed nothing.
const READS_MIN: u32 = 3;

/// Detects from the ownership row whether the owner has failed. Claiming from a live
/// owner is safe, since the store and the workers fence that owner; it only costs a
/// recovery.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_entry::OwnerMonitor;
/// use sapphirestile_entry::ClaimDecision;
///
/// let mut monitor = OwnerMonitor::default();
/// let decision = monitor.observe(None, MonoTime::from_millis(0));
/// assert_eq!(decision, ClaimDecision::Claim { revision: 0, epoch: 0 });
/// ```
#[derive(Clone, Debug, Default)]
pub struct OwnerMonitor {
    revision: u64,
    unchanged_since: MonoTime,
    reads: u32,
}

impl OwnerMonitor {
    /// Evaluates one read of the row, given with its revision; `None` when there is no
    /// row.
    pub fn observe(&mut self, row: Option<(&OwnershipRow, u64)>, now: MonoTime) -> ClaimDecision {
        let Some((row, revision)) = row else {
            return ClaimDecision::Claim {
                revision: 0,
                epoch: 0,
            };
        };
        let claim = ClaimDecision::Claim {
            revision,
            epoch: row.epoch,
        };
        if row.is_released {
            return claim;
        }
        if revision != self.revision {
            *self = Self {
                revision,
                unchanged_since: now,
                reads: 0,
            };
            return ClaimDecision::Wait;
        }
        self.reads += 1;
        let unchanged_ms = now.millis_since(self.unchanged_since);
        if self.reads >= READS_MIN && unchanged_ms >= OWNER_TIMEOUT_MS {
            return claim;
        }
        ClaimDecision::Wait
    }
}
