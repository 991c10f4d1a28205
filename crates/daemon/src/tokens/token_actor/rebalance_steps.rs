//! Rebalancing of tokens among the members.

use std::sync::Arc;

use tracing::debug;

use crate::tokens::MemberReport;
use crate::tokens::RebalancePlan;
use crate::tokens::TokenActor;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::RunnerName;
use sapphirestile_core::ServiceName;
use sapphirestile_core::SortedTable;
use sapphirestile_slots::HandoverMessage;
use sapphirestile_slots::PageCursor;
use sapphirestile_slots::TokenLedger;
use sapphirestile_wire::peer::HandoverParts;
use sapphirestile_wire::peer::PeerDatagram;
use sapphirestile_wire::peer::PeerFrame;
use sapphirestile_wire::peer::TokenReport;

const REPORT_AGE_MAX_MS: u64 = 2_000;
/// The maximum number of recently grown counters in one message to a peer.
const RECENT_TOTALS_MAX: usize = 200;
/// The number of steps within which all counters are resent page by page; 40 steps of
/// 250 ms are 10 s.
const RESEND_STEPS: usize = 40;

impl TokenActor {
    /// Measures the demand, hands over tokens as planned, and reports to the peers. Does
    /// nothing until the holder has applied the latest generation of the ledger.
    pub(super) fn rebalance(&mut self) {
        let row = self.context.ledger.load_full();
        let generation = self
            .holder
            .as_ref()
            .map(sapphirestile_slots::TokenHolder::generation);
        if generation != Some(row.ledger.generation) {
            return;
        }
        self.measure_demand();
        let report = self.own_report(&row.ledger);
        // Only members of the ledger take part in the plan.
        self.reports.retain(|peer| row.ledger.has_member(peer));
        self.pages.retain(|peer, _| row.ledger.has_member(peer));
        self.hand_over(&row.ledger, &report);
        for peer in &row.ledger.members {
            self.report_to(peer, &report);
        }
    }

    fn measure_demand(&mut self) {
        let mut in_flight: SortedTable<ServiceName, u32> = SortedTable::new();
        for row in self.context.routes.load().rows() {
            *in_flight.get_or_insert_with(row.service.clone(), || 0) += row.gauge.in_flight();
        }
        for (service, count) in in_flight.iter() {
            let meter = self
                .demand
                .get_or_insert_with(service.clone(), Default::default);
            meter.observe(*count, self.context.traffic.of(service).waiting());
        }
    }

    fn own_report(&self, ledger: &TokenLedger) -> TokenReport {
        let held = |runner: &RunnerName| {
            let row = self
                .holder
                .as_ref()
                .and_then(|holder| holder.rows().get(runner));
            row.map_or(0, sapphirestile_slots::HeldTokens::published)
        };
        let weights = self
            .demand
            .iter()
            .map(|(service, meter)| (service.clone(), meter.weight()));
        TokenReport {
            generation: ledger.generation.get(),
            zone: self.context.settings.node.zone.clone(),
            weights: weights.collect(),
            tokens: ledger.runners.keys().map(held).collect(),
        }
    }

    /// Hands over the tokens that the plan asks of this daemon. Every member makes the plan
    /// from the latest reports of all members and carries out its own part.
    fn hand_over(&mut self, ledger: &TokenLedger, own: &TokenReport) {
        let context = Arc::clone(&self.context);
        let reports = self.recent_reports(own);
        let Some(holder) = &mut self.holder else {
            return;
        };
        let (vms, document) = (context.vms.load(), context.document.load());
        let plan = RebalancePlan {
            ledger,
            reports: &reports,
            vms: &vms,
            document: document.document(),
        };
        plan.for_each_order_of(&context.identity, |runner, order| {
            holder.hand_over(order.to, runner, order.count, &context.gauges);
        });
    }

    /// The latest reports of the serving members and this daemon, ordered by member. A member
    /// without a report in the last [`REPORT_AGE_MAX_MS`] takes no part.
    fn recent_reports(&self, own: &TokenReport) -> Vec<MemberReport> {
        let context = &self.context;
        let now = context.clock.now();
        let recent = self.reports.recent(own.generation, now, REPORT_AGE_MAX_MS);
        let members = context.members.load();
        let suspect_ms = context.settings.limits.suspect_ms;
        let is_serving = |peer: &DaemonIdentity| {
            let row = members.row(peer.daemon.as_str());
            row.is_some_and(|row| row.is_serving(now, suspect_ms))
        };
        // A draining member would have to hand back every token that it gets.
        let recent = recent.filter(|(peer, _)| is_serving(peer));
        let recent = recent.chain(Some((&context.identity, own)));
        let mut reports: Vec<MemberReport> = recent
            .map(|(member, report)| MemberReport {
                member: member.clone(),
                report: report.clone(),
            })
            .collect();
        reports.sort_by(|left, right| left.member.cmp(&right.member));
        reports
    }

    /// Sends a peer the report of this daemon, the counters of recent handovers to it, and
    /// one page of all its counters. The pages resend, one after the other, what lost
    /// datagrams contained.
    fn report_to(&mut self, peer: &DaemonIdentity, report: &TokenReport) {
        if *peer == self.context.identity {
            return;
        }
        self.send(peer, PeerDatagram::Tokens(report.clone()));
        let Some(holder) = &mut self.holder else {
            return;
        };
        let recent = holder.recent_changes_to(peer, RECENT_TOTALS_MAX);
        let cursor = self
            .pages
            .get_or_insert_with(peer.clone(), || PageCursor::new(RESEND_STEPS));
        let page = cursor.next_page(holder, peer);
        for message in recent.into_iter().chain(Some(page)) {
            self.send_parts(peer, message);
        }
    }

    /// Sends a peer all counters of handovers to it.
    pub(super) fn send_all_counters(&mut self, peer: &DaemonIdentity) {
        if let Some(holder) = &self.holder {
            let message = holder.message_to(peer, None, usize::MAX);
            self.send_parts(peer, message);
        }
    }

    fn send_parts(&mut self, peer: &DaemonIdentity, message: HandoverMessage) {
        for part in HandoverParts::new(message) {
            self.send(peer, PeerDatagram::Handover(part));
        }
    }

    fn send(&mut self, peer: &DaemonIdentity, body: PeerDatagram) {
        let members = self.context.members.load();
        let Some(row) = members.row(peer.daemon.as_str()) else {
            return;
        };
        self.sent += 1;
        let frame = PeerFrame {
            sender: self.context.identity.daemon.clone(),
            incarnation: self.context.identity.incarnation,
            call: self.sent,
            body,
        };
        let Ok(sealed) = self.context.frame_key.seal(&frame) else {
            return;
        };
        if let Err(error) = self.socket.send_to(&sealed, row.address) {
            debug!(step = "send tokens", peer = %row.address, %error, "datagram not sent");
        }
    }
}
