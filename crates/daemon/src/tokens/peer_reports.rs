//! The latest token reports of peers.

use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;
use sapphirestile_wire::peer::TokenReport;

/// The latest token report of each peer, and when it was received.
#[derive(Clone, Debug, Default)]
pub struct PeerReports {
    reports: SortedTable<DaemonIdentity, (MonoTime, TokenReport)>,
}

impl PeerReports {
    /// Records a report received at `now`; replaces the earlier one of the peer.
    pub fn record(&mut self, peer: DaemonIdentity, report: TokenReport, now: MonoTime) {
        self.reports.insert(peer, (now, report));
    }

    /// The reports for one generation of the ledger that are at most `age_max_ms` old.
    pub fn recent(
        &self,
        generation: u64,
        now: MonoTime,
        age_max_ms: u64,
    ) -> impl Iterator<Item = (&DaemonIdentity, &TokenReport)> {
        let is_recent = move |received_at: &MonoTime, report: &TokenReport| {
            report.generation == generation && now.millis_since(*received_at) <= age_max_ms
        };
        self.reports
            .iter()
            .filter(move |(_, (received_at, report))| is_recent(received_at, report))
            .map(|(peer, (_, report))| (peer, report))
    }

    /// Removes the reports of peers for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(&DaemonIdentity) -> bool) {
        self.reports.retain(|peer, _| keep(peer));
    }
}
