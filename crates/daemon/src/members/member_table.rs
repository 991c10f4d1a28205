//! The daemons by name.

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

/// The daemons that the store or a heartbeat has named.
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
    /// The row of one daemon.
    #[must_use]
    pub fn row(&self, daemon: &str) -> Option<&MemberRow> {
        self.rows.get(daemon)
    }

    /// The rows by name.
    #[must_use]
    pub fn rows(&self) -> impl ExactSizeIterator<Item = (&DaemonName, &MemberRow)> {
        self.rows.iter()
    }

    /// Takes a registration in; an earlier incarnation than the known one is dropped.
    pub fn register(
        &mut self,
        daemon: &DaemonName,
        incarnation: IncarnationNumber,
        address: SocketAddr,
    ) {
        let fresh = || MemberRow {
            incarnation,
            address,
            heartbeat: None,
        };
        let row = self.rows.get_or_insert_with(daemon.clone(), fresh);
        if row.incarnation < incarnation {
            *row = fresh();
        }
    }

    /// Removes a daemon whose registration of this incarnation is gone.
    pub fn remove(&mut self, daemon: &str, incarnation: IncarnationNumber) {
        if self
            .rows
            .get(daemon)
            .is_some_and(|row| row.incarnation <= incarnation)
        {
            self.rows.remove(daemon);
        }
    }

    /// Takes a heartbeat in, unless a later one of the sender is known.
    pub fn note_heartbeat(
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
        let known = row.heartbeat.as_ref();
        let later = known.is_none_or(|(latest, _, _)| *latest < call);
        if row.incarnation != peer.incarnation || !later {
            return false;
        }
        row.heartbeat = Some((call, now, heartbeat.clone()));
        true
    }

    /// The daemon that says it owns a cell, by the highest epoch.
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
