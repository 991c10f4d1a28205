//! Chooses which cell a daemon claims.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use sapphirestile_core::CellNumber;
use sapphirestile_core::DaemonName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;

use crate::cells::CellTable;
use crate::owner::ClaimDecision;
use crate::owner::FreeCell;
use crate::owner::OwnerMonitor;

/// Monitors the owners of all cells, and chooses which cell to claim. Each daemon prefers
/// other cells, so that several daemons that find several cells without an owner seldom
/// claim the same one.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::CellNumber;
/// use sapphirestile_core::DaemonName;
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_entry::CellClaims;
/// use sapphirestile_entry::CellTable;
///
/// let mut claims = CellClaims::of(&DaemonName::try_from("entry-1").unwrap());
/// let now = MonoTime::from_millis(0);
/// let free = claims.observe(&CellTable::default(), |_| false, now).unwrap();
/// assert_eq!((free.cell, free.revision), (CellNumber::new(0), 0));
/// ```
#[derive(Clone, Debug)]
pub struct CellClaims {
    daemon: DaemonName,
    monitors: SortedTable<CellNumber, OwnerMonitor>,
    /// Since when each cell without an owner has been seen so.
    free_since: SortedTable<CellNumber, MonoTime>,
}

impl CellClaims {
    /// Creates the claims of a daemon.
    #[must_use]
    pub fn of(daemon: &DaemonName) -> Self {
        Self {
            daemon: daemon.clone(),
            monitors: SortedTable::new(),
            free_since: SortedTable::new(),
        }
    }

    /// Evaluates one read of the rows. Returns the cell to be claimed, or `None` if all have
    /// owners. `is_own` says whether this daemon owns a cell. A cell whose row cannot be read
    /// is left to daemons that can.
    pub fn observe(
        &mut self,
        table: &CellTable,
        is_own: impl Fn(CellNumber) -> bool,
        now: MonoTime,
    ) -> Option<FreeCell> {
        let mut free = Vec::new();
        for cell in table.numbers() {
            if is_own(cell) || table.has_unreadable_head(cell) {
                self.monitors.remove(&cell);
                self.free_since.remove(&cell);
                continue;
            }
            let head = table.heads.get(&cell);
            let row = head.map(|head| (&head.row, head.revision));
            let monitor = self
                .monitors
                .get_or_insert_with(cell, OwnerMonitor::default);
            match monitor.observe(row, now) {
                ClaimDecision::Wait => {
                    self.free_since.remove(&cell);
                }
                ClaimDecision::Claim { revision, .. } => free.push((cell, revision)),
            }
        }
        let cells = free.len();
        let preferred = free
            .into_iter()
            .max_by_key(|(cell, _)| self.preference(*cell));
        let (cell, revision) = preferred?;
        let since = self.free_since.get_or_insert_with(cell, || now);
        Some(FreeCell {
            cell,
            revision,
            free_ms: now.millis_since(*since),
            cells,
        })
    }

    fn preference(&self, cell: CellNumber) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.daemon.as_str().hash(&mut hasher);
        cell.hash(&mut hasher);
        hasher.finish()
    }
}
