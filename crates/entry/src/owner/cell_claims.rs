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
/// let (cell, _) = claims.observe(&CellTable::default(), |_| false, now).unwrap();
/// assert_eq!(cell, CellNumber::new(0));
/// ```
#[derive(Clone, Debug)]
pub struct CellClaims {
    daemon: DaemonName,
    monitors: SortedTable<CellNumber, OwnerMonitor>,
}

impl CellClaims {
    /// Creates the claims of a daemon.
    #[must_use]
    pub fn of(daemon: &DaemonName) -> Self {
        Self {
            daemon: daemon.clone(),
            monitors: SortedTable::new(),
        }
    }

    /// Evaluates one read of the rows. Returns the cell to be claimed with the decision to
    /// claim it, or `None`. `is_own` says whether this daemon owns a cell.
    pub fn observe(
        &mut self,
        table: &CellTable,
        is_own: impl Fn(CellNumber) -> bool,
        now: MonoTime,
    ) -> Option<(CellNumber, ClaimDecision)> {
        let mut free = Vec::new();
        for cell in table.numbers() {
            if is_own(cell) {
                self.monitors.remove(&cell);
                continue;
            }
            let head = table.heads.get(&cell);
            let row = head.map(|head| (&head.row, head.revision));
            let monitor = self
                .monitors
                .get_or_insert_with(cell, OwnerMonitor::default);
            let decision = monitor.observe(row, now);
            if decision != ClaimDecision::Wait {
                free.push((cell, decision));
            }
        }
        free.into_iter()
            .max_by_key(|(cell, _)| self.preference(*cell))
    }

    fn preference(&self, cell: CellNumber) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.daemon.as_str().hash(&mut hasher);
        cell.hash(&mut hasher);
        hasher.finish()
    }
}
