//! What the owner knows about one incarnation of a worker.

use crate::worker::EndPosition;
use crate::worker::EndedRun;
use crate::worker::WorkerClock;
use crate::worker::WorkerIncarnation;

/// What the owner knows about the incarnation of a worker that responded last. It is replaced
/// as a whole when another incarnation responds, so that nothing of it is applied to the next.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_jobs::EndPosition;
/// use sapphirestile_jobs::KnownIncarnation;
/// use sapphirestile_jobs::WorkerClock;
/// use sapphirestile_jobs::WorkerIncarnation;
///
/// let (earlier, later) = (WorkerIncarnation::from_unix_ms(1), WorkerIncarnation::from_unix_ms(2));
/// let clock = WorkerClock::new(500, 0, MonoTime::from_millis(1_000));
/// let mut known = KnownIncarnation::new(later, clock);
/// known.record_stored(EndPosition { incarnation: earlier, number: 7 });
/// assert_eq!(known.stored_end().number, 0);
/// known.record_stored(EndPosition { incarnation: later, number: 3 });
/// assert_eq!(known.stored_end().number, 3);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownIncarnation {
    /// Estimate of the incarnation's clock.
    pub clock: WorkerClock,
    stored_end: EndPosition,
}

impl KnownIncarnation {
    /// Creates the view of an incarnation that has responded for the first time.
    #[must_use]
    pub const fn new(incarnation: WorkerIncarnation, clock: WorkerClock) -> Self {
        let stored_end = EndPosition {
            incarnation,
            number: 0,
        };
        Self { clock, stored_end }
    }

    /// Identity of the incarnation.
    #[must_use]
    pub const fn incarnation(&self) -> WorkerIncarnation {
        self.stored_end.incarnation
    }

    /// Position up to which the ends of this incarnation are stored.
    #[must_use]
    pub const fn stored_end(&self) -> EndPosition {
        self.stored_end
    }

    /// Whether the end was listed by this incarnation and is stored.
    #[must_use]
    pub const fn has_stored(&self, ended: &EndedRun) -> bool {
        ended.number <= self.stored_end.number
    }

    /// Records that the ends up to a position are stored. Has no effect if the position is of
    /// another incarnation.
    pub fn record_stored(&mut self, end: EndPosition) {
        if end.incarnation == self.incarnation() {
            self.stored_end.number = self.stored_end.number.max(end.number);
        }
    }
}
