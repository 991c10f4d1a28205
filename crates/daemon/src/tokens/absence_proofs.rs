//! Proofs that members are gone.

use crate::members::MemberTable;
use crate::tokens::LedgerRow;
use crate::vms::VmTable;
use sapphirestile_cells::LIST_LAG_MAX_MS;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::DaemonName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;
use sapphirestile_wire::vms::VmKind;

/// Determines which members are proven gone.
///
/// A member is proven gone when its registration was removed or replaced by a later
/// incarnation, or when its VM has been missing from the list of VMs for as long as the
/// list may lag ([`LIST_LAG_MAX_MS`]). Only lists that contain this daemon's own VM count.
/// A member that does not answer is not proven gone.
///
/// # Examples
///
/// ```
/// use sapphirestile_daemon::members::MemberTable;
/// use sapphirestile_daemon::tokens::AbsenceProofs;
/// use sapphirestile_daemon::tokens::LedgerRow;
/// use sapphirestile_daemon::vms::VmTable;
/// use sapphirestile_core::DaemonIdentity;
/// use sapphirestile_core::DaemonName;
/// use sapphirestile_core::IncarnationNumber;
///
/// let daemon = DaemonName::try_from("entry-2").unwrap();
/// let member = DaemonIdentity { daemon, incarnation: IncarnationNumber::new(4) };
/// let proofs = AbsenceProofs::default();
/// assert!(!proofs.is_gone(
///     &member,
///     &LedgerRow::default(),
///     &MemberTable::default(),
///     &VmTable::default()
/// ));
/// ```
#[derive(Clone, Debug, Default)]
pub struct AbsenceProofs {
    /// For each daemon that the latest list lacks, when the first list without it was read.
    missing_since: SortedTable<DaemonName, MonoTime>,
}

impl AbsenceProofs {
    /// Records which of the daemons in `members` the list of VMs contains. `own` is the name
    /// of this daemon. Has no effect before the first list has been read.
    pub fn record_list(&mut self, vms: &VmTable, own: &str, members: &[DaemonIdentity]) {
        let Some(read_at) = vms.read_at() else { return };
        let listed = |daemon: &str| {
            let mut records = vms.records();
            records.any(|record| record.kind == VmKind::Entry && record.name == daemon)
        };
        if !listed(own) {
            // A list without this daemon's own VM is incomplete and proves nothing.
            self.missing_since = SortedTable::new();
            return;
        }
        self.missing_since
            .retain(|daemon, _| !listed(daemon.as_str()));
        for member in members {
            if !listed(member.daemon.as_str()) {
                self.missing_since
                    .get_or_insert_with(member.daemon.clone(), || read_at);
            }
        }
    }

    /// Whether `member` is proven gone by the ledger row, the registrations or the list of
    /// VMs.
    #[must_use]
    pub fn is_gone(
        &self,
        member: &DaemonIdentity,
        row: &LedgerRow,
        members: &MemberTable,
        vms: &VmTable,
    ) -> bool {
        let known = members.row(member.daemon.as_str());
        let replaced = known.is_some_and(|known| known.incarnation > member.incarnation);
        replaced || row.unregistered.contains(member) || self.is_unlisted(&member.daemon, vms)
    }

    /// Whether the daemon's VM has been missing from the list of VMs for at least
    /// [`LIST_LAG_MAX_MS`].
    #[must_use]
    pub fn is_unlisted(&self, daemon: &DaemonName, vms: &VmTable) -> bool {
        let since = self.missing_since.get(daemon.as_str());
        match (since, vms.read_at()) {
            (Some(since), Some(read_at)) => read_at.millis_since(*since) >= LIST_LAG_MAX_MS,
            _ => false,
        }
    }
}
