//! Which members are proven gone.

use crate::members::MemberTable;
use crate::vms::VmTable;
use sapphirestile_cells::LIST_LAG_MAX_MS;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::DaemonName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;
use sapphirestile_wire::vms::VmKind;

/// Says which members are proven gone: a later incarnation has registered under
/// the name, or the list of VMs, which shows this daemon's own VM, has not shown
/// the member's for longer than the list may lag. Silence proves nothing.
///
/// # Examples
///
/// ```
/// use sapphirestile_daemon::members::MemberTable;
/// use sapphirestile_daemon::tokens::MemberProofs;
/// use sapphirestile_daemon::vms::VmTable;
/// use sapphirestile_core::DaemonIdentity;
/// use sapphirestile_core::DaemonName;
/// use sapphirestile_core::IncarnationNumber;
///
/// let daemon = DaemonName::try_from("entry-2").unwrap();
/// let member = DaemonIdentity { daemon, incarnation: IncarnationNumber::new(4) };
/// let proofs = MemberProofs::default();
/// assert!(!proofs.is_gone(&member, &MemberTable::default(), &VmTable::default()));
/// ```
#[derive(Clone, Debug, Default)]
pub struct MemberProofs {
    unlisted: SortedTable<DaemonName, MonoTime>,
}

impl MemberProofs {
    /// Takes the list of VMs in, for the daemons in `members`.
    pub fn note_list(&mut self, vms: &VmTable, own: &str, members: &[DaemonIdentity]) {
        let Some(read) = vms.read() else { return };
        let listed = |daemon: &str| {
            let mut records = vms.records();
            records.any(|record| record.kind == VmKind::Entry && record.name == daemon)
        };
        if !listed(own) {
            // A list that does not show this VM says nothing of others.
            self.unlisted = SortedTable::new();
            return;
        }
        self.unlisted.retain(|daemon, _| !listed(daemon.as_str()));
        for member in members {
            if !listed(member.daemon.as_str()) {
                self.unlisted
                    .get_or_insert_with(member.daemon.clone(), || read);
            }
        }
    }

    /// Whether `member` is proven gone.
    #[must_use]
    pub fn is_gone(&self, member: &DaemonIdentity, members: &MemberTable, vms: &VmTable) -> bool {
        let row = members.row(member.daemon.as_str());
        let replaced = row.is_some_and(|row| row.incarnation > member.incarnation);
        replaced || self.is_unlisted(&member.daemon, vms)
    }

    /// Whether the list has not shown the daemon's VM for longer than it may lag.
    #[must_use]
    pub fn is_unlisted(&self, daemon: &DaemonName, vms: &VmTable) -> bool {
        let since = self.unlisted.get(daemon.as_str());
        match (since, vms.read()) {
            (Some(since), Some(read)) => read.millis_since(*since) >= LIST_LAG_MAX_MS,
            _ => false,
        }
    }
}
