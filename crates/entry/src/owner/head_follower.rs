//! Watches whether the owner is alive.

use crate::owner::HeadStep;
use crate::store::HeadRow;
use sapphirestile_core::MonoTime;

/// The owner counts as gone when the head row has not changed for so long, in
/// milliseconds. A living owner writes it several times in that time.
const SILENCE_MAX_MS: u64 = 1_500;

/// How many times the row must have been read meanwhile: a daemon that slept, or
/// whose reads failed, has seen nothing.
const READS_MIN: u32 = 3;

/// Watches whether the owner still writes the head row. A claim of a living owner's
/// row is safe, since the store and the workers fence that owner; it only costs a
/// recovery.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_entry::HeadFollower;
/// use sapphirestile_entry::HeadStep;
///
/// let mut follower = HeadFollower::default();
/// let step = follower.observe(None, MonoTime::from_millis(0));
/// assert_eq!(step, HeadStep::Claim { revision: 0, epoch: 0 });
/// ```
#[derive(Clone, Debug, Default)]
pub struct HeadFollower {
    revision: u64,
    unchanged_since: MonoTime,
    reads: u32,
}

impl HeadFollower {
    /// Takes a read of the head row with its revision, and says what to do.
    pub fn observe(&mut self, head: Option<(&HeadRow, u64)>, now: MonoTime) -> HeadStep {
        let Some((head, revision)) = head else {
            return HeadStep::Claim {
                revision: 0,
                epoch: 0,
            };
        };
        let claim = HeadStep::Claim {
            revision,
            epoch: head.epoch,
        };
        if head.is_released {
            return claim;
        }
        if revision != self.revision {
            *self = Self {
                revision,
                unchanged_since: now,
                reads: 0,
            };
            return HeadStep::Wait;
        }
        self.reads += 1;
        let silence_ms = now.millis_since(self.unchanged_since);
        if self.reads >= READS_MIN && silence_ms >= SILENCE_MAX_MS {
            return claim;
        }
        HeadStep::Wait
    }
}
