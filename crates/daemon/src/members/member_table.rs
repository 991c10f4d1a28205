//! The known daemons by name.

use std::net::SocketAddr;

use crate::members::MemberRow;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::DaemonName;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;
use sapphirestile_wire::peer::PeerHeartbeat;

/// The daemons that are registered in the store or have sent a heartbeat.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::DaemonName;
/// use sapphirestile_core::IncarnationNumber;
/// use sapphirestile_daemon::members::MemberTable;
///
/// let name = DaemonName::try_from("entry-1").unwrap();
/// let address = "127.0.0.1:7000".parse().unwrap();
/// let mut table = MemberTable::default();
/// table.register(&name, IncarnationNumber::new(5), address);
/// table.register(&name, IncarnationNumber::new(4), address);
/// assert_eq!(table.row("entry-1").unwrap().incarnation.get(), 5);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberTable {
    rows: SortedTable<DaemonName, MemberRow>,
}

impl MemberTable {
    /// Returns the row of a daemon; `None` when the daemon is not known.
    #[must_use]
    pub fn row(&self, daemon: &str) -> Option<&MemberRow> {
        self.rows.get(daemon)
    }

    /// The rows in the order of the daemons' names.
    #[must_use]
    pub fn rows(&self) -> impl ExactSizeIterator<Item = (&DaemonName, &MemberRow)> {
        self.rows.iter()
    }

    /// Adds a daemon, or replaces its row, including the heartbeat, if `incarnation` is later
    /// than the known one. Has no effect otherwise.
    pub fn register(
        &mut self,
        daemon: &DaemonName,
        incarnation: IncarnationNumber,
        address: SocketAddr,
    ) {
        let new_row = || MemberRow {
            incarnation,
            address,
            heartbeat: None,
        };
        let row = self.rows.get_or_insert_with(daemon.clone(), new_row);
        if row.incarnation < incarnation {
            *row = new_row();
        }
    }

    /// Removes a daemon unless a later incarnation than `incarnation` is known.
    pub fn remove(&mut self, daemon: &str, incarnation: IncarnationNumber) {
        if self
            .rows
            .get(daemon)
            .is_some_and(|row| row.incarnation <= incarnation)
        {
            self.rows.remove(daemon);
        }
    }

    /// Records a heartbeat received at `now`, and registers its sender if necessary.
    ///
    /// Returns whether it was recorded: a heartbeat of an earlier incarnation, or one whose
    /// number `call` is not higher than the latest, has no effect.
    pub fn record_heartbeat(
        &mut self,
        peer: &DaemonIdentity,
        call: u64,
        heartbeat: &PeerHeartbeat,
        now: MonoTime,
    ) -> bool {
        self.register(&peer.daemon, peer.incarnation, heartbeat.address);
        let Some(row) = self.rows.get_mut(peer.daemon.as_str()) else {
            return false;
        };
        let latest = row.heartbeat.as_ref();
        let is_later = latest.is_none_or(|(number, _, _)| *number < call);
        if row.incarnation != peer.incarnation || !is_later {
            return false;
        }
        row.heartbeat = Some((call, now, heartbeat.clone()));
        true
    }

    /// The daemon that owns a cell according to its heartbeats, and the epoch of its claim.
    ///
    /// If several claim it, the one with the highest epoch counts. Heartbeats that are
    /// `suspect_ms` old or older are ignored. `None` when no daemon claims the cell.
    #[must_use]
    pub fn owner_of(
        &self,
        cell: CellNumber,
        now: MonoTime,
        suspect_ms: u64,
    ) -> Option<(&DaemonName, CellEpoch)> {
        let mut best: Option<(&DaemonName, CellEpoch)> = None;
        for (daemon, row) in self.rows.iter() {
            let Some((_, _, heartbeat)) = &row.heartbeat else {
                continue;
            };
            let owned = heartbeat.cells.iter().find(|(owned, _)| *owned == cell);
            if let Some((_, epoch)) = owned
                && row.silent_ms(now) < suspect_ms
                && best.is_none_or(|(_, highest)| *epoch > highest)
            {
                best = Some((daemon, *epoch));
            }
        }
        best
    }
}
