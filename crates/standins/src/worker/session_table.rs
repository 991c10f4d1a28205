//! The sessions of cells' owners with a worker.

use crate::worker::FencedCall;
use crate::worker::cell_session::CellSession;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;
use sapphirestile_wire::worker::SessionRequest;
use sapphirestile_wire::worker::WorkerRefusal;

/// The epoch, the latest permit and the lease of each cell. Permits are numbers that
/// increase across all cells.
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
/// let mut sessions = SessionTable::with_last_permit(0);
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
    /// Creates a table without sessions. The first permit that it issues is the number after
    /// `last_permit`.
    #[must_use]
    pub const fn with_last_permit(last_permit: u64) -> Self {
        Self {
            sessions: SortedTable::new(),
            last_permit,
        }
    }

    /// Opens or renews a session and extends its lease, which is never shortened. Returns a new
    /// permit, which invalidates the earlier one.
    ///
    /// # Errors
    ///
    /// [`WorkerRefusal::StaleEpoch`] when a higher epoch has a session for the cell.
    pub fn renew(&mut self, request: &SessionRequest, now: MonoTime) -> Result<u64, WorkerRefusal> {
        self.check_epoch(request.cell, request.epoch)?;
        let earlier = self.lease_until(request.cell);
        self.last_permit += 1;
        let session = CellSession {
            epoch: request.epoch,
            first_permit: self.first_permit(request).unwrap_or(self.last_permit),
            permit: self.last_permit,
            permit_issued: now,
            lease_until: now.plus_millis(request.lease_ms).max(earlier),
        };
        self.sessions.insert(request.cell, session);
        Ok(self.last_permit)
    }

    /// Checks the epoch of a call. An epoch without a session passes, but has no valid permit.
    ///
    /// # Errors
    ///
    /// [`WorkerRefusal::StaleEpoch`] when a higher epoch has a session for the cell.
    pub fn fence(&self, cell: CellNumber, epoch: CellEpoch) -> Result<FencedCall, WorkerRefusal> {
        self.check_epoch(cell, epoch)?;
        let session = self
            .sessions
            .get(&cell)
            .filter(|session| session.epoch == epoch);
        Ok(FencedCall {
            permit: session.map(|session| (session.permit, session.permit_issued)),
            lease_until: self.lease_until(cell),
        })
    }

    /// The time until which the tasks of a cell may run without another renewal; the origin of
    /// the clock when the cell has no session.
    #[must_use]
    pub fn lease_until(&self, cell: CellNumber) -> MonoTime {
        let session = self.sessions.get(&cell);
        session.map_or_else(MonoTime::default, |session| session.lease_until)
    }

    /// The first permit that was issued in the epoch of `request`; `None` when the epoch has no
    /// session yet.
    #[must_use]
    pub fn first_permit(&self, request: &SessionRequest) -> Option<u64> {
        let session = self.sessions.get(&request.cell)?;
        (session.epoch == request.epoch).then_some(session.first_permit)
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
