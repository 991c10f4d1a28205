//! State of the zone's protocol.

use crate::zone_out::batch_commit::BatchCommit;
use crate::zone_out::held_permit::HeldPermit;

/// State of the configuration, the worker, the owner and the messages between them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneOutState {
    /// Newest revision of the configuration; the zone is out of service at odd ones.
    pub(crate) revision: u8,
    /// Ticks since the zone was taken out, up to one more than the maximum permit age; 0
    /// while it is in service.
    pub(crate) ticks_since_out: u8,
    /// Age of the worker's latest permit in ticks, up to one more than the maximum.
    pub(crate) permit_age: u8,
    /// Permit on its way to the owner.
    pub(crate) granted_permit: Option<HeldPermit>,
    /// Newest revision that the owner knows.
    pub(crate) known_revision: u8,
    /// Permit that the owner holds.
    pub(crate) permit: Option<HeldPermit>,
    /// Commit on its way to the store.
    pub(crate) sent_commit: Option<BatchCommit>,
    /// Commit that the store applied and whose start request was not sent yet.
    pub(crate) committed_batch: Option<BatchCommit>,
    /// Permit in the start request on its way to the worker.
    pub(crate) start_permit: Option<HeldPermit>,
    /// Whether the worker has started the task.
    pub(crate) started: bool,
    /// Whether the worker has started the task too long after the zone was taken out.
    pub(crate) started_late: bool,
}

impl ZoneOutState {
    /// Whether the zone is out of service at `revision`.
    pub(crate) const fn is_out_at(revision: u8) -> bool {
        revision % 2 == 1
    }

    /// Voids every permit granted so far, wherever it is held.
    pub(crate) fn void_permits(&mut self) {
        let void = |permit: &mut HeldPermit| *permit = HeldPermit::Void;
        self.granted_permit.as_mut().map(void);
        self.permit.as_mut().map(void);
        self.start_permit.as_mut().map(void);
        for batch in [&mut self.sent_commit, &mut self.committed_batch]
            .into_iter()
            .flatten()
        {
            batch.permit = HeldPermit::Void;
        }
    }
}
