//! The sessions that cells have opened with a worker.

use crate::worker::FencedCall;
use crate::worker::cell_session::CellSession;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;
use sapphirestile_wire::worker::SessionRequest;
use sapphirestile_wire::worker::WorkerRefusal;

/// The highest epoch, the newest permit and the lease of each cell.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::CellEpoch;
/// use sapphirestile_core::CellNumber;
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_standins::worker::SessionTable;
/// use sapphirestile_wire::worker::SessionRequest;
/// use sapphirestile_wire::worker::WorkerRefusal;
///
/// let mut sessions = SessionTable::after(0);
/// let cell = CellNumber::new(3);
/// let epoch = CellEpoch::new(9);
/// let request = SessionRequest { cell, epoch, lease_ms: 5_000, settled: Vec::new(), known: None };
/// let now = MonoTime::from_millis(0);
/// let permit = sessions.renew(&request, now).unwrap();
/// assert!(sessions.fence(cell, epoch).unwrap().permit(permit, now).is_ok());
/// let stale = sessions.fence(cell, CellEpoch::new(8)).unwrap_err();
/// assert_eq!(stale, WorkerRefusal::StaleEpoch { highest: 9 });
/// ```
#[derive(Clone, Debug, Default)]
pub struct SessionTable {
    sessions: SortedTable<CellNumber, CellSession>,
    last_permit: u64,
}

impl SessionTable {
    /// No session yet, and no permit up to `last_permit`.
    #[must_use]
    pub const fn after(last_permit: u64) -> Self {
        Self {
            sessions: SortedTable::new(),
            last_permit,
        }
    }

    /// Opens or renews a session, extends its lease, voids its permit and
    /// returns a fresh one.
    ///
    /// # Errors
    ///
    /// [`WorkerRefusal::StaleEpoch`] when a later epoch was seen.
    pub fn renew(&mut self, request: &SessionRequest, now: MonoTime) -> Result<u64, WorkerRefusal> {
        self.check_epoch(request.cell, request.epoch)?;
        let earlier = self.lease_until(request.cell);
        self.last_permit += 1;
        let session = CellSession {
            epoch: request.epoch,
            opened: self.opened(request).unwrap_or(self.last_permit),
            permit: self.last_permit,
            permitted: now,
            lease_until: now.plus_millis(request.lease_ms).max(earlier),
        };
        self.sessions.insert(request.cell, session);
        Ok(self.last_permit)
    }

    /// Lets a call of an epoch pass.
    ///
    /// # Errors
    ///
    /// [`WorkerRefusal::StaleEpoch`] when a later epoch was seen.
    pub fn fence(&self, cell: CellNumber, epoch: CellEpoch) -> Result<FencedCall, WorkerRefusal> {
        self.check_epoch(cell, epoch)?;
        let session = self
            .sessions
            .get(&cell)
            .filter(|session| session.epoch == epoch);
        Ok(FencedCall {
            permit: session.map(|session| (session.permit, session.permitted)),
            lease_until: self.lease_until(cell),
        })
    }

    /// Until when the tasks of a cell may run without another renewal.
    #[must_use]
    pub fn lease_until(&self, cell: CellNumber) -> MonoTime {
        let session = self.sessions.get(&cell);
        session.map_or_else(MonoTime::default, |session| session.lease_until)
    }

    /// The first permit of the epoch of `request`; none before its first session.
    #[must_use]
    pub fn opened(&self, request: &SessionRequest) -> Option<u64> {
        let session = self.sessions.get(&request.cell)?;
        (session.epoch == request.epoch).then_some(session.opened)
    }

    fn check_epoch(&self, cell: CellNumber, epoch: CellEpoch) -> Result<(), WorkerRefusal> {
        match self.sessions.get(&cell) {
            Some(session) if epoch < session.epoch => Err(WorkerRefusal::StaleEpoch {
                highest: session.epoch.get(),
            }),
            _ => Ok(()),
        }
    }
}
