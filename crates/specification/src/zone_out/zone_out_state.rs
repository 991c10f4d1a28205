//! The whole state around a zone.

use crate::zone_out::batch_commit::BatchCommit;
use crate::zone_out::held_permit::HeldPermit;

/// Configuration, worker, owner and what is under way between them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneOutState {
    /// The newest revision; the zone is out at odd ones.
    pub(crate) revision: u8,
    pub(crate) ticks_since_out: u8,
    pub(crate) permit_age: u8,
    pub(crate) report: Option<HeldPermit>,
    pub(crate) known_revision: u8,
    pub(crate) permit: Option<HeldPermit>,
    pub(crate) sent: Option<BatchCommit>,
    pub(crate) committed: Option<BatchCommit>,
    pub(crate) start: Option<HeldPermit>,
    pub(crate) started: bool,
    pub(crate) started_late: bool,
}

impl ZoneOutState {
    /// Whether the zone is out at `revision`.
    pub(crate) const fn is_out_at(revision: u8) -> bool {
        revision % 2 == 1
    }

    /// Voids every permit given so far.
    pub(crate) fn void_permits(&mut self) {
        let void = |permit: &mut HeldPermit| *permit = HeldPermit::Void;
        self.report.as_mut().map(void);
        self.permit.as_mut().map(void);
        self.start.as_mut().map(void);
        for batch in [&mut self.sent, &mut self.committed].into_iter().flatten() {
            batch.permit = HeldPermit::Void;
        }
    }
}
