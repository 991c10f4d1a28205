//! What peers last said that they hold and want.

use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;
use sapphirestile_wire::peer::TokenReport;

/// The latest report of each peer, and when it came.
#[derive(Clone, Debug, Default)]
pub struct PeerReports {
    reports: SortedTable<DaemonIdentity, (MonoTime, TokenReport)>,
}

impl PeerReports {
    /// Takes a report in.
    pub fn note(&mut self, peer: DaemonIdentity, report: TokenReport, now: MonoTime) {
        self.reports.insert(peer, (now, report));
    }

    /// The reports of one generation that are not older than `age_max_ms`.
    pub fn fresh(
        &self,
        generation: u64,
        now: MonoTime,
        age_max_ms: u64,
    ) -> impl Iterator<Item = (&DaemonIdentity, &TokenReport)> {
        let fresh = move |came: &MonoTime, report: &TokenReport| {
            report.generation == generation && now.millis_since(*came) <= age_max_ms
        };
        self.reports
            .iter()
            .filter(move |(_, (came, report))| fresh(came, report))
            .map(|(peer, (_, report))| (peer, report))
    }

    /// Forgets the peers for which `keep` does not hold.
    pub fn retain(&mut self, keep: impl Fn(&DaemonIdentity) -> bool) {
        self.reports.retain(|peer, _| keep(peer));
    }
}
